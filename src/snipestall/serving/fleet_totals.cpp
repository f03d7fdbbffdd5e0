#include "snipestall/serving/fleet_totals.hpp"

#include <algorithm>

namespace snipestall::serving {

namespace {

void eraseFrom(Totals &totals, const std::string &prefix)
{
    auto at = totals.lower_bound(prefix);
    while (at != totals.end() && at->first.starts_with(prefix))
        at = totals.erase(at);
}

} // namespace

void FleetTotals::add(const std::string &name, double amount)
{
    m_own[name] += amount;
    m_all[name] += amount;
}

void FleetTotals::updatePeer(const std::string &peer, std::uint64_t series, const Totals &totals)
{
    const auto [found, added] = m_peers.try_emplace(peer);
    Peer &known = found->second;
    if (added || known.series != series) {
        known = { series, totals };
        return;
    }
    for (const auto &[name, value] : totals) {
        double &counted = known.totals[name];
        m_all[name] += std::max(0.0, value - counted);
        counted = value;
    }
}

void FleetTotals::erasePrefix(const std::string &prefix)
{
    eraseFrom(m_own, prefix);
    eraseFrom(m_all, prefix);
    for (auto &[name, peer] : m_peers)
        eraseFrom(peer.totals, prefix);
}

} // namespace snipestall::serving
