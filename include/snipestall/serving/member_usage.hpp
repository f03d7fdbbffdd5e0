#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Decides which instance stores the usage counts of a window that has ended.
///
/// Load: every instance has counts for every window; in a large fleet that is hundreds of writes
/// within a few seconds. A hub therefore stores the counts that its members have reported, and
/// reports to each of them up to which window it has done so. Failure: a hub is killed, or receives
/// the last report of a member too late; it shows as a usage report that is too low. A member
/// therefore stores its counts itself when its hub has not confirmed in time that it has stored
/// them.
class MemberUsage
{
public:
    /// This long after the end of a window, the last reports of the members have arrived.
    static constexpr std::chrono::milliseconds HubStoresAfter { 600 };
    /// By this time after the end of a window, a running hub has stored the counts and confirmed
    /// it.
    static constexpr std::chrono::milliseconds MemberStoresAfter { 1500 };

    /// Hub only: a member reports that its counts of the windows up to this one are final.
    void memberClosed(const std::string &process, std::int64_t window);
    /// Hub only: the members whose counts of the window are final.
    [[nodiscard]] std::vector<std::string> membersFinalFor(std::int64_t window) const;
    /// Hub only: the counts that these members reported for the window and for earlier ones are
    /// stored.
    void markStored(const std::vector<std::string> &processes, std::int64_t window);
    /// Hub only: the last window up to which the counts of a member are stored; 0 for none.
    [[nodiscard]] std::int64_t storedUpTo(const std::string &process) const;
    [[nodiscard]] bool hasMembers() const { return !m_members.empty(); }
    /// Removes members that have closed no window since this one.
    void dropBefore(std::int64_t window);

    /// Member only: the hub has reported that the counts of this instance are stored up to a
    /// window.
    void hubStored(std::int64_t window, SteadyTime now);
    /// Whether the hub has stored the counts of a window.
    [[nodiscard]] bool storedByHub(std::int64_t window) const { return window <= m_storedByHub; }
    /// Whether storing the counts of a window that ended `sinceEnd` ago may still be left to the
    /// hub.
    [[nodiscard]] bool isLeftToHub(std::chrono::milliseconds sinceEnd, SteadyTime now) const;

private:
    /// A hub that has not reported for several intervals stores nothing for this instance.
    static constexpr std::chrono::milliseconds HubTimeout { 1000 };

    struct Member
    {
        std::int64_t closed = 0;
        std::int64_t stored = 0;
    };

    std::map<std::string, Member> m_members;
    std::int64_t m_storedByHub = 0;
    SteadyTime m_lastHubReport;
};

} // namespace snipestall::serving
