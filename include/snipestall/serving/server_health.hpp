#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// What this instance has observed of the answers of one backend server.
///
/// Failure: a backend server fails or drops requests although its health check succeeds, or only
/// this instance cannot reach it. It shows as failed attempts at this server while other servers
/// answer. Passive counts need no probes and cannot be wrong about what callers get. A server that
/// was lost is avoided for a pause, which doubles with each further loss without an answer in
/// between, up to a limit, so that a server that has recovered is found again by at most one
/// request per pause.
class ServerHealth
{
public:
    /// The server cannot be reached, broke the connection or did not answer in time.
    void lost(SteadyTime now);
    /// Attempts there wait for too long and nothing arrives from the server. That is no loss: it
    /// may only pause. It is avoided for a while, for longer each time, until it is heard again.
    void stalled(SteadyTime now);
    /// A byte arrived from the server.
    void heard();
    /// The server answered with a failure.
    void failed();
    /// The server answered successfully.
    void answered();

    /// False while the server should be avoided if another one can serve.
    [[nodiscard]] bool usable(SteadyTime now) const
    {
        return now >= m_avoidUntil && now >= m_silentUntil;
    }
    /// Part of the recent answers that were failures, from 0 to 1.
    [[nodiscard]] double failureRate() const { return m_failureRate; }

private:
    /// First pause: several round trips, so that a single connection reset costs little.
    static constexpr std::chrono::milliseconds InitialPause { 400 };
    /// Longest pause: a server that has recovered is tried again within this time.
    static constexpr std::chrono::milliseconds MaxPause { 3200 };
    /// Weight of one answer in the failure rate, which thus covers about the last twenty answers.
    static constexpr double Smoothing = 0.05;

    /// The pause after a loss or stall that follows `before` others.
    static std::chrono::milliseconds pauseAfter(int before);

    int m_consecutiveLosses = 0;
    SteadyTime m_avoidUntil;
    /// Pauses for silence since the server was last heard, and the end of the last one.
    int m_stalls = 0;
    SteadyTime m_silentUntil;
    double m_failureRate = 0;
};

} // namespace snipestall::serving
