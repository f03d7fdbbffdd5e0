#pragma once

#include "snipestall/peer/member.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::peer {

/// What a heartbeat, or the answer to one, tells of its sender.
struct Heartbeat
{
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::uint64_t settingsVersion = 0;
    std::vector<PoolLoad> pools;
    /// Where it listens for peers; empty if it does not say.
    std::string address {};
};

/// Who lives and who leaves, as one instance sees it: soft state, nothing is agreed. A member
/// silent for `term` is suspected here only; cut off, an instance goes on with those it hears.
///
/// Cost per instance grows with the members of its own data centre and a few links to each other
/// one, never with all instances.
class Membership
{
public:
    using Listener = std::function<void(const Member &, MemberState before)>;

    Membership(std::string self, std::string dataCentre, std::chrono::milliseconds term);

    /// A hint from the settings or the platform's list: only ever adds a member or its address.
    void learn(const std::string &name, const std::string &dataCentre, const std::string &address);
    void heard(const Heartbeat &heartbeat, std::chrono::steady_clock::time_point now);
    /// Holds for that incarnation for good: a lagging list can't bring it back.
    void markLeaving(const std::string &name, std::uint64_t incarnation);
    void tick(std::chrono::steady_clock::time_point now);

    void setSelfLeaving() { m_selfLeaving = true; }
    [[nodiscard]] bool selfLeaving() const { return m_selfLeaving; }

    /// Live members of this data centre that may own backend servers; itself too unless it leaves.
    [[nodiscard]] std::vector<std::string> owners() const;
    /// Live members of this data centre but itself.
    [[nodiscard]] std::vector<std::string> livePeers() const;
    [[nodiscard]] std::vector<std::string> membersOf(std::string_view dataCentre) const;
    [[nodiscard]] const Member *find(std::string_view name) const;
    [[nodiscard]] const std::map<std::string, Member, std::less<>> &members() const
    {
        return m_members;
    }
    [[nodiscard]] const std::string &self() const { return m_self; }
    [[nodiscard]] const std::string &dataCentre() const { return m_dataCentre; }

    /// Runs at each change of a member's state or incarnation.
    void subscribe(Listener listener) { m_listeners.push_back(std::move(listener)); }

private:
    void change(Member &member, MemberState state, bool reborn = false);

    std::string m_self;
    std::string m_dataCentre;
    std::chrono::milliseconds m_term;
    bool m_selfLeaving = false;
    std::map<std::string, Member, std::less<>> m_members;
    std::vector<Listener> m_listeners;
};

} // namespace snipestall::peer
