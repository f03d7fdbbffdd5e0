#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Who stores the usage counts of a window that has ended.
///
/// Load: every instance has counts of every window; in a large fleet that is hundreds of writes in
/// a few seconds. So a hub stores what its members have told it, and tells each of them up to which
/// window that is done. Failure: a hub is killed, or hears a member's last report too late; it
/// shows as a usage report that is too low. A member therefore stores its counts itself when its
/// hub has not told in time that it has.
class MemberUsage
{
public:
    /// After the end of a window its members' last reports are here.
    static constexpr std::chrono::milliseconds HubStoresAfter { 600 };
    /// By then a hub that lives has stored the counts and said so.
    static constexpr std::chrono::milliseconds OwnStoreAfter { 1500 };

    /// As a hub: a member says that its counts of the windows up to this one are final.
    void closed(const std::string &process, std::int64_t window);
    /// Members whose counts of the window are final.
    [[nodiscard]] std::vector<std::string> finalIn(std::int64_t window) const;
    /// What these members told of the window, and of those before, is stored.
    void stored(const std::vector<std::string> &processes, std::int64_t window);
    /// Up to which window a member's counts are stored; 0 for none.
    [[nodiscard]] std::int64_t storedUpTo(const std::string &process) const;
    [[nodiscard]] bool hasMembers() const { return !m_members.empty(); }
    /// Forgets members that have closed no window since this one.
    void dropBefore(std::int64_t window);

    /// As a member: the hub was heard, and has stored this instance's counts up to a window.
    void hubStored(std::int64_t window, SteadyTime now);
    /// Whether the hub has stored the counts of a window.
    [[nodiscard]] bool storedByHub(std::int64_t window) const { return window <= m_storedByHub; }
    /// Whether the hub may still store the counts of a window that ended this long ago.
    [[nodiscard]] bool leftToHub(std::chrono::milliseconds sinceEnd, SteadyTime now) const;

private:
    /// A hub that is silent for longer than several intervals stores nothing for this instance.
    static constexpr std::chrono::milliseconds HubHeardWithin { 1000 };

    struct Member
    {
        std::int64_t closed = 0;
        std::int64_t stored = 0;
    };

    std::map<std::string, Member> m_members;
    std::int64_t m_storedByHub = 0;
    SteadyTime m_hubHeard;
};

} // namespace snipestall::serving
