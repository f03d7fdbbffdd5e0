#include "snipestall/serving/peer_calls.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

PeerCalls::PeerCalls(std::string self, OverlayPeer own)
    : m_self(self)
    , m_own(own)
    , m_overlay(std::move(self), std::move(own))
{ }

void PeerCalls::addPeer(const std::string &peer, const OverlayPeer &info)
{
    OverlayPeer &known = m_peers[peer].info;
    m_changed |= known != info;
    known = info;
}

void PeerCalls::addressChanged(const std::string &peer)
{
    m_changed = true;
    m_peers[peer].retryAt.reset();
}

void PeerCalls::reportReceived(const std::string &peer, SteadyTime now)
{
    Peer &known = m_peers[peer];
    known.lastReportAt = now;
    m_changed |= known.retryAt.has_value();
    known.retryAt.reset();
    known.retryPause = InitialRetryPause;
}

void PeerCalls::callAnswered(const std::string &peer)
{
    m_peers[peer].calling = false;
    if (peer != m_triedHub)
        return;
    m_hub = peer;
    m_session = m_triedSession;
    m_triedHub.clear();
}

std::uint64_t PeerCalls::hubSession(const std::string &hub)
{
    if (hub == m_hub)
        return m_session;
    m_triedHub = hub;
    // A new number in any case, whichever of the tried hubs received the report.
    m_triedSession = std::max(m_session, m_triedSession) + 1;
    return m_triedSession;
}

void PeerCalls::callFailed(const std::string &peer, SteadyTime now)
{
    Peer &known = m_peers[peer];
    known.calling = false;
    m_changed |= !known.retryAt.has_value();
    known.retryAt = now + known.retryPause;
    known.retryPause = std::min(2 * known.retryPause, MaxRetryPause);
}

void PeerCalls::updateOverlay()
{
    if (!m_changed)
        return;
    m_changed = false;
    std::map<std::string, OverlayPeer> reachable;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.retryAt)
            reachable[name] = peer.info;
    }
    m_overlay.update(reachable);
}

void PeerCalls::addRetries(SteadyTime now, std::vector<std::string> &names)
{
    const auto isDue = [now](const Peer &peer) { return peer.retryAt && now >= *peer.retryAt; };
    if (std::none_of(m_peers.begin(), m_peers.end(),
                     [&isDue](const auto &entry) { return isDue(entry.second); }))
        return;
    std::map<std::string, OverlayPeer> withRetries;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.retryAt || isDue(peer))
            withRetries[name] = peer.info;
    }
    Overlay wanted(m_self, m_own);
    wanted.update(withRetries);
    for (const std::string &name : wanted.targets()) {
        if (m_peers.at(name).retryAt)
            addIfDue(name, now, names);
    }
}

void PeerCalls::addIfDue(const std::string &name, SteadyTime now, std::vector<std::string> &names)
{
    Peer &peer = m_peers.at(name);
    // A call is due a quarter of the interval early: whichever of the two peers calls first saves
    // the other one its call.
    const SteadyTime last = std::max(peer.lastReportAt, peer.calledAt);
    if (peer.calling || now - last < Interval - Interval / 4)
        return;
    peer.calling = true;
    peer.calledAt = now;
    names.push_back(name);
}

std::vector<std::string> PeerCalls::dueCalls(SteadyTime now, bool hasMembers)
{
    updateOverlay();
    std::vector<std::string> names;
    for (const std::string &name : m_overlay.targets())
        addIfDue(name, now, names);
    addRetries(now, names);
    if (m_overlay.isHub() || !hasMembers)
        return names;
    for (const std::string &name : m_overlay.hubs())
        addIfDue(name, now, names);
    return names;
}

} // namespace snipestall::serving
