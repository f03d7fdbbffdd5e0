#include "snipestall/serving/crash_watch.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

bool CrashWatch::connectionBroke(std::uint64_t fingerprint, const std::string &server,
                                 SteadyTime now, PromptParts suspects)
{
    auto &requests = m_brokenRequests[server];
    std::erase_if(requests,
                  [now](const BrokenRequest &each) { return now - each.time > SuspectPeriod; });
    requests.push_back({ fingerprint, std::move(suspects), now });
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
        if (now - request.time > SuspectPeriod)
            continue;
        addReport({ request.fingerprint, server }, now);
        m_parts.serverEnded(request.suspects, server, request.time, now);
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
    crashed.last = std::max(crashed.last, now - report.age);
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
    if (found == m_crashedServers.end() || now - found->second.last > BlockPeriod)
        return false;
    const auto ended =
        std::ranges::count_if(found->second.servers, [this](const std::string &server) {
            return !m_parts.explains(server);
        });
    return static_cast<std::size_t>(ended) >= BlockThreshold;
}

std::vector<CrashReport> CrashWatch::recentReports(SteadyTime now) const
{
    std::vector<CrashReport> reports;
    for (const RecentReport &each : m_recentReports) {
        if (now - each.time <= ReportPeriod)
            reports.push_back(reportAt(each.report.fingerprint, each.report.server,
                                       each.time - each.report.age, now));
    }
    return reports;
}

std::vector<CrashReport> CrashWatch::allReports(SteadyTime now) const
{
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, crashed] : m_crashedServers) {
        if (now - crashed.last > BlockPeriod)
            continue;
        for (const std::string &server : crashed.servers)
            reports.push_back(reportAt(fingerprint, server, crashed.last, now));
    }
    std::ranges::stable_sort(reports, {}, &CrashReport::age);
    reports.resize(std::min(reports.size(), MaxReports));
    return reports;
}

CrashReport CrashWatch::reportAt(std::uint64_t fingerprint, const std::string &server,
                                 SteadyTime crashed, SteadyTime now)
{
    return { fingerprint, server,
             std::chrono::duration_cast<std::chrono::milliseconds>(now - crashed) };
}

} // namespace snipestall::serving
