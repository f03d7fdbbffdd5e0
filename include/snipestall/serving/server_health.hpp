#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// What this instance has seen of one backend server's answers.
///
/// Failure: a backend server fails or drops requests while its health check is good, or can't be
/// reached from here only. It shows as failed attempts at this one server while its neighbours
/// answer. Passive counts need no probes and can't be lied to; a server that failed twice in a row
/// without an answer between is avoided for a while that doubles up to a limit, so that a server
/// that has come back is found again by at most one request per period.
class ServerHealth
{
public:
    /// The server can't be reached, broke off or did not answer in time.
    void lost(SteadyTime now);
    /// The server answered that it failed.
    void failed();
    void answered();

    /// False while the server is to be avoided where another one can serve.
    [[nodiscard]] bool usable(SteadyTime now) const { return now >= m_avoidUntil; }
    /// Part of the recent answers that were failures, 0 to 1.
    [[nodiscard]] double failureRate() const { return m_failureRate; }

private:
    /// First period of avoidance: several round trips, so that a single reset costs little.
    static constexpr std::chrono::milliseconds FirstPause { 400 };
    /// Longest period: a server that is back is tried again within it.
    static constexpr std::chrono::milliseconds LongestPause { 3200 };
    /// Weight of one answer in the failure rate: some twenty answers are remembered.
    static constexpr double Smoothing = 0.05;

    int m_lostInRow = 0;
    SteadyTime m_avoidUntil;
    double m_failureRate = 0;
};

} // namespace snipestall::serving
