#include "snipestall/serving/crash_watch.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

bool CrashWatch::connectionBroke(std::uint64_t fingerprint, const std::string &server,
                                 SteadyTime now)
{
    auto &requests = m_brokenRequests[server];
    std::erase_if(requests,
                  [now](const BrokenRequest &each) { return now - each.time > SuspectPeriod; });
    requests.push_back({ fingerprint, now });
    return m_checking.insert(server).second;
}

bool CrashWatch::isBeingChecked(const std::string &server) const
{
    return m_checking.contains(server);
}

void CrashWatch::foundRunning(const std::string &server)
{
    m_checking.erase(server);
}

void CrashWatch::connectionRefused(const std::string &server, SteadyTime now)
{
    m_checking.erase(server);
    const auto found = m_brokenRequests.find(server);
    if (found == m_brokenRequests.end())
        return;
    const auto requests = std::exchange(found->second, {});
    m_brokenRequests.erase(found);
    for (const BrokenRequest &request : requests) {
        if (now - request.time <= SuspectPeriod)
            addReport({ request.fingerprint, server }, now);
    }
}

void CrashWatch::addReport(const CrashReport &report, SteadyTime now)
{
    std::erase_if(m_crashedServers,
                  [now](const auto &entry) { return now - entry.second.last > BlockPeriod; });
    std::erase_if(m_recentReports,
                  [now](const RecentReport &each) { return now - each.time > ReportPeriod; });
    if (m_crashedServers.size() >= MaxFingerprints
        && !m_crashedServers.contains(report.fingerprint))
        return;
    CrashedServers &crashed = m_crashedServers[report.fingerprint];
    // Already known. Sending it on again would keep it circulating among the instances forever.
    if (!crashed.servers.insert(report.server).second)
        return;
    crashed.last = now;
    m_recentReports.push_back({ report, now });
}

// Failure: a rack loses its power while a call that many callers send with the same empty body is
// in flight at three of its servers. It shows as that call being refused to all callers for
// minutes.
void CrashWatch::requestAnswered(std::uint64_t fingerprint, SteadyTime now)
{
    m_answered.add(fingerprint, now);
    m_crashedServers.erase(fingerprint);
}

bool CrashWatch::wasAnswered(std::uint64_t fingerprint) const
{
    return m_answered.contains(fingerprint);
}

bool CrashWatch::hasCrashedServer(std::uint64_t fingerprint) const
{
    return m_crashedServers.contains(fingerprint);
}

bool CrashWatch::isBlocked(std::uint64_t fingerprint, SteadyTime now) const
{
    if (wasAnswered(fingerprint))
        return false;
    const auto found = m_crashedServers.find(fingerprint);
    return found != m_crashedServers.end() && found->second.servers.size() >= BlockThreshold
        && now - found->second.last <= BlockPeriod;
}

std::vector<CrashReport> CrashWatch::recentReports(SteadyTime now) const
{
    std::vector<CrashReport> reports;
    for (const RecentReport &each : m_recentReports) {
        if (now - each.time <= ReportPeriod)
            reports.push_back(each.report);
    }
    return reports;
}

} // namespace snipestall::serving
