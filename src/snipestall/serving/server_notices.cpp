#include "snipestall/serving/server_notices.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

using std::chrono::milliseconds;

std::shared_ptr<ServerRest> ServerNotices::rest(const std::string &server) const
{
    const auto found = m_rests.find(server);
    return found == m_rests.end() ? nullptr : found->second;
}

std::shared_ptr<ServerRest> ServerNotices::extendRest(const std::string &server, SteadyTime until,
                                                      SteadyTime now)
{
    std::shared_ptr<ServerRest> &rest = m_rests[server];
    if (!rest)
        rest = std::make_shared<ServerRest>();
    rest->extend(until, now);
    return rest;
}

std::vector<std::string> ServerNotices::endRests(SteadyTime now)
{
    std::vector<std::string> ended;
    for (const auto &[server, rest] : m_rests) {
        if (!rest->inForce(now))
            ended.push_back(server);
    }
    for (const std::string &server : ended)
        m_rests.erase(server);
    return ended;
}

bool ServerNotices::setLeaving(const std::string &server, LeavingSource source, SteadyTime saidAt)
{
    if (m_leaving.size() >= MaxLeaving)
        dropOldest();
    const auto [found, added] = m_leaving.try_emplace(server, Leaving { source, saidAt });
    if (source == LeavingSource::Entry)
        found->second.source = source;
    return added;
}

void ServerNotices::dropOldest()
{
    std::vector<SteadyTime> times;
    times.reserve(m_leaving.size());
    for (const auto &[server, leaving] : m_leaving)
        times.push_back(leaving.saidAt);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(m_leaving,
                  [limit = *middle](const auto &entry) { return entry.second.saidAt <= limit; });
}

bool ServerNotices::isLeaving(const std::string &server) const
{
    return m_leaving.contains(server);
}

std::optional<SteadyTime> ServerNotices::leavingSince(const std::string &server) const
{
    const auto found = m_leaving.find(server);
    if (found == m_leaving.end())
        return std::nullopt;
    return found->second.saidAt;
}

std::vector<LeavingReport> ServerNotices::leavingReports(SteadyTime now) const
{
    std::vector<LeavingReport> reports;
    for (const auto &[server, leaving] : m_leaving) {
        const auto age = now - leaving.saidAt;
        if (leaving.source == LeavingSource::Answer && age <= ReportedFor)
            reports.push_back({ server, std::chrono::duration_cast<milliseconds>(age) });
    }
    std::ranges::sort(reports, {}, &LeavingReport::age);
    reports.resize(std::min(reports.size(), MaxReports));
    return reports;
}

void ServerNotices::forget(const std::string &server)
{
    m_rests.erase(server);
    m_leaving.erase(server);
}

} // namespace snipestall::serving
