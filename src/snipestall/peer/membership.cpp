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

void Membership::addKnownMember(const std::string &name, const std::string &dataCentre,
                                const std::string &address)
{
    if (name == m_self)
        return;
    Member &member = m_members[name];
    member.name = name;
    member.dataCentre = dataCentre;
    // The address of a live member is correct, but an outdated list may contain its former address.
    if (member.address.empty() || member.state != MemberState::Live)
        member.address = address;
}

void Membership::heartbeatReceived(const Heartbeat &heartbeat,
                                   std::chrono::steady_clock::time_point now)
{
    if (heartbeat.name == m_self)
        return;
    Member &member = m_members[heartbeat.name];
    // A delayed message of a former incarnation does not apply to the current one.
    if (heartbeat.incarnation < member.incarnation)
        return;
    const bool reportedBefore = member.incarnation != 0;
    const bool isNewIncarnation = heartbeat.incarnation > member.incarnation;
    member.name = heartbeat.name;
    member.dataCentre = heartbeat.dataCentre;
    member.incarnation = heartbeat.incarnation;
    member.lastHeartbeat = now;
    member.settingsVersion = heartbeat.settingsVersion;
    member.pools = heartbeat.pools;
    // An address from the settings or the platform's list is kept, because it may lead through a
    // gateway. But a new incarnation may have another address.
    const bool mayHaveMoved = isNewIncarnation && reportedBefore;
    if (!heartbeat.address.empty() && (member.address.empty() || mayHaveMoved))
        member.address = heartbeat.address;
    const bool staysLeaving = member.state == MemberState::Leaving && !isNewIncarnation;
    // An instance that is replaced quickly is never suspected, so a new incarnation must notify the
    // listeners even if the state is unchanged.
    const bool isLeaving = heartbeat.leaving || staysLeaving;
    change(member, isLeaving ? MemberState::Leaving : MemberState::Live, isNewIncarnation);
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
        const bool silent = now - member.lastHeartbeat > m_term;
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

void Membership::change(Member &member, MemberState state, bool isNewIncarnation)
{
    const MemberState before = std::exchange(member.state, state);
    if (before == state && !isNewIncarnation)
        return;
    logChange(member);
    for (const Listener &listener : m_listeners)
        listener(member, before);
}

} // namespace snipestall::peer
