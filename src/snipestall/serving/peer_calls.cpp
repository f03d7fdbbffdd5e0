#include "snipestall/serving/peer_calls.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

PeerCalls::PeerCalls(std::string self, OverlayPeer own)
    : m_self(self)
    , m_own(own)
    , m_overlay(std::move(self), std::move(own))
{ }

void PeerCalls::known(const std::string &peer, const OverlayPeer &place)
{
    OverlayPeer &known = m_peers[peer].place;
    m_changed |= known != place;
    known = place;
}

void PeerCalls::moved(const std::string &peer)
{
    m_changed = true;
    m_peers[peer].retryAt.reset();
}

void PeerCalls::heard(const std::string &peer, SteadyTime now)
{
    Peer &known = m_peers[peer];
    known.heard = now;
    m_changed |= known.retryAt.has_value();
    known.retryAt.reset();
    known.retryPause = FirstRetry;
}

void PeerCalls::answered(const std::string &peer)
{
    m_peers[peer].calling = false;
    if (peer != m_triedHub)
        return;
    m_hub = peer;
    m_stay = m_triedStay;
    m_triedHub.clear();
}

std::uint64_t PeerCalls::stayAt(const std::string &hub)
{
    if (hub == m_hub)
        return m_stay;
    m_triedHub = hub;
    // Never used before, whichever of the hubs that were tried got the report.
    m_triedStay = std::max(m_stay, m_triedStay) + 1;
    return m_triedStay;
}

void PeerCalls::failed(const std::string &peer, SteadyTime now)
{
    Peer &known = m_peers[peer];
    known.calling = false;
    m_changed |= !known.retryAt.has_value();
    known.retryAt = now + known.retryPause;
    known.retryPause = std::min(2 * known.retryPause, LongestRetry);
}

void PeerCalls::updateOverlay()
{
    if (!m_changed)
        return;
    m_changed = false;
    std::map<std::string, OverlayPeer> reachable;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.retryAt)
            reachable[name] = peer.place;
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
            withRetries[name] = peer.place;
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
    // A quarter early: whoever of the two comes first saves the other its call.
    const SteadyTime last = std::max(peer.heard, peer.calledAt);
    if (peer.calling || now - last < Interval - Interval / 4)
        return;
    peer.calling = true;
    peer.calledAt = now;
    names.push_back(name);
}

std::vector<std::string> PeerCalls::due(SteadyTime now, bool hasMembers)
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
