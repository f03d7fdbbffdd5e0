#pragma once

#include <chrono>
#include <optional>

namespace snipestall::serving {

/// The speed of one backend server relative to the other servers of its service.
///
/// Load: the servers of one service differ in speed, and a long prompt takes most of its target
/// latency on a fast one. Harm: on a slow server it is late, whatever else runs there. Servers do
/// not report their speed, but it can be derived from the pause between the events of their
/// streams, because a slower engine takes longer for every step. Pauses are compared only between
/// servers, never with a fixed value.
class ServerSpeed
{
public:
    /// Sets the average pause between two events of the streams that ended recently at any
    /// instance, or the average duration of plain calls.
    void setPause(std::chrono::duration<double> pause) { m_pause = pause; }
    /// The average set last; nothing before the first request has ended.
    [[nodiscard]] std::optional<std::chrono::duration<double>> pause() const { return m_pause; }
    /// Updates slowness() by the median pause of all servers of the service.
    void compareWith(std::chrono::duration<double> medianPause);
    /// Time that work takes on this server, relative to the other servers of the service.
    [[nodiscard]] double slowness() const { return m_slowness; }

private:
    /// A server that is slower than `MaxSlowness` is overloaded or failing, which other rules
    /// handle.
    static constexpr double MinSlowness = 0.6;
    static constexpr double MaxSlowness = 2;

    std::optional<std::chrono::duration<double>> m_pause;
    double m_slowness = 1;
};

} // namespace snipestall::serving
