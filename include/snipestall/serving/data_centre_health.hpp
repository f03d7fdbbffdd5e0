#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <set>
#include <string>

namespace snipestall::serving {

/// Tracks whether a data centre's backend servers can be reached from this instance.
///
/// Failure: the network path to a data centre is cut. It shows as requests that hang at each of its
/// servers in turn, and each of them costs a caller the time until the timeout. When two servers
/// have been lost and no server of the data centre has answered in between, all its servers are
/// suspected at once; the first answer ends the suspicion.
class DataCentreHealth
{
public:
    /// A request to `server` failed without an answer.
    void lost(const std::string &server, SteadyTime now);
    void answered();
    /// False while the data centre's servers are suspected.
    [[nodiscard]] bool usable(SteadyTime now) const { return now >= m_avoidUntil; }

private:
    static constexpr std::size_t SuspicionThreshold = 2;
    /// As in ServerHealth: a data centre that can be reached again is found by one request per
    /// pause.
    static constexpr std::chrono::milliseconds InitialPause { 400 };
    static constexpr std::chrono::milliseconds MaxPause { 1600 };
    /// Losses that are further apart are taken as unrelated.
    static constexpr std::chrono::milliseconds LossWindow { 3000 };

    std::set<std::string> m_lostServers;
    SteadyTime m_lastLost;
    SteadyTime m_avoidUntil;
    std::chrono::milliseconds m_pause { InitialPause };
};

} // namespace snipestall::serving
