#include "snipestall/serving/peer_loads.hpp"

#include <utility>

namespace snipestall::serving {

void PeerLoads::update(const std::string &peer, Loads loads, SteadyTime now)
{
    forget(peer);
    for (const auto &[server, load] : loads) {
        Sum &sum = m_sums[server];
        sum.load += load;
        ++sum.reports;
    }
    m_reports[peer] = { now, std::move(loads) };
}

void PeerLoads::forget(const std::string &peer)
{
    const auto found = m_reports.find(peer);
    if (found == m_reports.end())
        return;
    subtract(found->second.loads);
    m_reports.erase(found);
}

void PeerLoads::expire(SteadyTime now)
{
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (now - report->second.receivedAt <= MaxReportAge) {
            ++report;
            continue;
        }
        subtract(report->second.loads);
        report = m_reports.erase(report);
    }
}

void PeerLoads::subtract(const Loads &loads)
{
    for (const auto &[server, load] : loads) {
        const auto found = m_sums.find(server);
        // Without the last report nothing may remain, not even what rounding leaves over.
        if (--found->second.reports == 0)
            m_sums.erase(found);
        else
            found->second.load -= load;
    }
}

ServerLoad PeerLoads::at(const std::string &server) const
{
    const auto found = m_sums.find(server);
    return found == m_sums.end() ? ServerLoad() : found->second.load;
}

} // namespace snipestall::serving
