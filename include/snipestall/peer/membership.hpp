#pragma once

#include "snipestall/peer/member.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::peer {

/// State of the sender of a heartbeat or of the reply to one.
struct Heartbeat
{
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::uint64_t settingsVersion = 0;
    std::vector<PoolLoad> pools;
    /// Address at which the sender listens for peers; empty if it does not state one.
    std::string address {};
};

/// The live and leaving instances as one instance sees them: soft state without consensus. A member
/// that has not reported for `term` is suspected by this instance only. An instance that is cut off
/// goes on with the members whose heartbeats it still receives.
///
/// The cost per instance grows with the number of members of its own data centre and with a few
/// links to each other data centre, never with the number of all instances.
class Membership
{
public:
    using Listener = std::function<void(const Member &, MemberState before)>;

    Membership(std::string self, std::string dataCentre, std::chrono::milliseconds term);

    /// Adds a member or its address from the settings or the platform's list. This is only a hint:
    /// it never changes a member's state.
    void addKnownMember(const std::string &name, const std::string &dataCentre,
                        const std::string &address);
    /// Applies a heartbeat that was received at `now`. A heartbeat of a former incarnation is
    /// ignored.
    void heartbeatReceived(const Heartbeat &heartbeat, std::chrono::steady_clock::time_point now);
    /// Marks a member as leaving if it still has that incarnation. The mark is permanent for the
    /// incarnation, so that an outdated list can't make the member live again.
    void markLeaving(const std::string &name, std::uint64_t incarnation);
    /// Suspects live members that have not reported for longer than the term.
    void tick(std::chrono::steady_clock::time_point now);

    void setSelfLeaving() { m_selfLeaving = true; }
    [[nodiscard]] bool selfLeaving() const { return m_selfLeaving; }

    /// Live members of this data centre that may own backend servers, including this instance
    /// unless it is leaving.
    [[nodiscard]] std::vector<std::string> owners() const;
    /// Live members of this data centre except this instance.
    [[nodiscard]] std::vector<std::string> livePeers() const;
    [[nodiscard]] std::vector<std::string> membersOf(std::string_view dataCentre) const;
    [[nodiscard]] const Member *find(std::string_view name) const;
    [[nodiscard]] const std::map<std::string, Member, std::less<>> &members() const
    {
        return m_members;
    }
    [[nodiscard]] const std::string &self() const { return m_self; }
    [[nodiscard]] const std::string &dataCentre() const { return m_dataCentre; }

    /// Adds a listener that is called at each change of a member's state or incarnation.
    void subscribe(Listener listener) { m_listeners.push_back(std::move(listener)); }

private:
    void change(Member &member, MemberState state, bool isNewIncarnation = false);

    std::string m_self;
    std::string m_dataCentre;
    std::chrono::milliseconds m_term;
    bool m_selfLeaving = false;
    std::map<std::string, Member, std::less<>> m_members;
    std::vector<Listener> m_listeners;
};

} // namespace snipestall::peer
