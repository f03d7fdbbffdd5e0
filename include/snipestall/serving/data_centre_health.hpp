#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <set>
#include <string>

namespace snipestall::serving {

/// Whether a data centre's backend servers can be reached from here.
///
/// Failure: a data centre is cut off from this one. It shows as requests that hang at each of its
/// servers in turn, each costing a caller the time to find out. Two servers lost without an answer
/// from any of the data centre's in between put all of them under suspicion at once; the first
/// answer ends it.
class DataCentreHealth
{
public:
    void lost(const std::string &server, SteadyTime now);
    void answered();
    [[nodiscard]] bool usable(SteadyTime now) const { return now >= m_avoidUntil; }

private:
    static constexpr std::size_t LostServers = 2;
    /// As for a single server: found again by a request per period.
    static constexpr std::chrono::milliseconds FirstPause { 400 };
    static constexpr std::chrono::milliseconds LongestPause { 1600 };
    /// Losses further apart have nothing to do with each other.
    static constexpr std::chrono::milliseconds Together { 3000 };

    std::set<std::string> m_lost;
    SteadyTime m_lastLost;
    SteadyTime m_avoidUntil;
    std::chrono::milliseconds m_pause { FirstPause };
};

} // namespace snipestall::serving
