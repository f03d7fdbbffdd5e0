#include "snipestall/peer/membership.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"

#include <utility>

namespace snipestall::peer {

namespace {

void logChange(const Member &member)
{
    const EventInfo *event = nullptr;
    if (member.state == MemberState::Live)
        event = &events::PeerUp;
    if (member.state == MemberState::Suspected)
        event = &events::PeerSuspected;
    if (member.state == MemberState::Leaving)
        event = &events::PeerLeaving;
    if (event != nullptr)
        logEvent(*event, { { "peer", member.name }, { "data_centre", member.dataCentre } });
}

} // namespace

Membership::Membership(std::string self, std::string dataCentre, std::chrono::milliseconds term)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_term(term)
{ }

void Membership::learn(const std::string &name, const std::string &dataCentre,
                       const std::string &address)
{
    if (name == m_self)
        return;
    Member &member = m_members[name];
    member.name = name;
    member.dataCentre = dataCentre;
    // The address of a member that answers is right; a lagging list may name its former one.
    if (member.address.empty() || member.state != MemberState::Live)
        member.address = address;
}

void Membership::heard(const Heartbeat &heartbeat, std::chrono::steady_clock::time_point now)
{
    if (heartbeat.name == m_self)
        return;
    Member &member = m_members[heartbeat.name];
    // A message of a former incarnation, late on its way, says nothing of the present one.
    if (heartbeat.incarnation < member.incarnation)
        return;
    const bool known = member.incarnation != 0;
    const bool reborn = heartbeat.incarnation > member.incarnation;
    member.name = heartbeat.name;
    member.dataCentre = heartbeat.dataCentre;
    member.incarnation = heartbeat.incarnation;
    member.lastHeard = now;
    member.settingsVersion = heartbeat.settingsVersion;
    member.pools = heartbeat.pools;
    // What the settings or the list name stands, since it may lead through a gateway; but a new
    // incarnation may have moved.
    const bool moved = reborn && known;
    if (!heartbeat.address.empty() && (member.address.empty() || moved))
        member.address = heartbeat.address;
    const bool stays = member.state == MemberState::Leaving && !reborn;
    // A quick replacement is never seen as silent; its listeners must hear of it all the same.
    const bool gone = heartbeat.leaving || stays;
    change(member, gone ? MemberState::Leaving : MemberState::Live, reborn);
}

void Membership::markLeaving(const std::string &name, std::uint64_t incarnation)
{
    const auto it = m_members.find(name);
    if (it == m_members.end() || it->second.incarnation != incarnation)
        return;
    change(it->second, MemberState::Leaving);
}

void Membership::tick(std::chrono::steady_clock::time_point now)
{
    for (auto &[name, member] : m_members) {
        const bool silent = now - member.lastHeard > m_term;
        if (member.state == MemberState::Live && silent)
            change(member, MemberState::Suspected);
    }
}

std::vector<std::string> Membership::owners() const
{
    std::vector<std::string> names = livePeers();
    if (!m_selfLeaving)
        names.push_back(m_self);
    return names;
}

std::vector<std::string> Membership::livePeers() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        if (member.state == MemberState::Live && member.dataCentre == m_dataCentre)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> Membership::membersOf(std::string_view dataCentre) const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        if (member.dataCentre == dataCentre)
            names.push_back(name);
    }
    return names;
}

const Member *Membership::find(std::string_view name) const
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

void Membership::change(Member &member, MemberState state, bool reborn)
{
    const MemberState before = std::exchange(member.state, state);
    if (before == state && !reborn)
        return;
    logChange(member);
    for (const Listener &listener : m_listeners)
        listener(member, before);
}

} // namespace snipestall::peer
