#include "snipestall/serving/peer_loads.hpp"

#include <utility>

namespace snipestall::serving {

void PeerLoads::update(const std::string &peer, Loads loads, SteadyTime now)
{
    m_reports[peer] = { now, std::move(loads) };
}

void PeerLoads::forget(const std::string &peer)
{
    m_reports.erase(peer);
}

ServerLoad PeerLoads::at(const std::string &server, SteadyTime now) const
{
    ServerLoad sum;
    for (const auto &[peer, report] : m_reports) {
        if (now - report.receivedAt > MaxReportAge)
            continue;
        const auto found = report.loads.find(server);
        if (found != report.loads.end())
            sum += found->second;
    }
    return sum;
}

} // namespace snipestall::serving
