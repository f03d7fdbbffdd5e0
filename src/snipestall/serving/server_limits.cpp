#include "snipestall/serving/server_limits.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/serving/server_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

} // namespace

ServerLimits::ServerLimits(std::string self)
    : m_self(std::move(self))
{ }

void ServerLimits::setInstances(std::map<std::string, std::string> dataCentres)
{
    if (dataCentres == m_dataCentres)
        return;
    m_dataCentres = std::move(dataCentres);
    m_ranks.clear();
}

void ServerLimits::forgetServer(const std::string &server)
{
    m_limits.erase(server);
    m_ranks.erase(server);
}

std::chrono::seconds ServerLimits::keptFor(const Limit &limit)
{
    return limit.perSecond ? KeptFor : LiftedKeptFor;
}

void ServerLimits::dropOld(SteadyTime now)
{
    std::erase_if(m_limits, [now](const auto &entry) {
        return now - entry.second.saidAt > keptFor(entry.second);
    });
}

bool ServerLimits::set(const std::string &server, std::optional<double> perSecond,
                       SteadyTime saidAt, SteadyTime now)
{
    dropOld(now);
    const auto [found, added] = m_limits.try_emplace(server);
    Limit &limit = found->second;
    if (!added && saidAt < limit.saidAt)
        return false;
    limit.saidAt = saidAt;
    const bool changed = added || limit.perSecond != perSecond;
    // A limit begins with no tokens, because the server has just got the requests that others or an
    // earlier process of this instance sent.
    if (changed && !limit.perSecond) {
        limit.tokens = 0;
        limit.filledAt = now;
    }
    limit.perSecond = perSecond;
    return changed;
}

bool ServerLimits::answered(const ServerState &server, std::optional<double> perSecond,
                            SteadyTime now)
{
    if (!perSecond && !m_limits.contains(server.key))
        return false;
    return set(server.key, perSecond, now, now);
}

bool ServerLimits::apply(const ServerLimitReport &report, SteadyTime now)
{
    if (report.age > ReportedFor)
        return false;
    if (!report.perSecond && !m_limits.contains(report.server))
        return false;
    return set(report.server, report.perSecond, now - report.age, now);
}

std::vector<ServerLimitReport> ServerLimits::reports(SteadyTime now) const
{
    std::vector<ServerLimitReport> reports;
    for (const auto &[server, limit] : m_limits) {
        if (now - limit.saidAt > std::min(keptFor(limit), ReportedFor))
            continue;
        reports.push_back({ server, limit.perSecond,
                            std::chrono::duration_cast<milliseconds>(now - limit.saidAt) });
    }
    std::ranges::sort(reports, {}, &ServerLimitReport::age);
    reports.resize(std::min(reports.size(), MaxReports));
    return reports;
}

bool ServerLimits::isLimited(const std::string &server) const
{
    const auto found = m_limits.find(server);
    return found != m_limits.end() && found->second.perSecond;
}

std::size_t ServerLimits::size() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_limits, [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

ServerLimits::Rank ServerLimits::rankFor(const ServerState &server) const
{
    const auto known = m_ranks.find(server.key);
    if (known != m_ranks.end())
        return known->second;
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const auto &[name, dataCentre] : m_dataCentres) {
        all.push_back(name);
        if (dataCentre == server.info.dataCentre)
            near.push_back(name);
    }
    const std::vector<std::string> order = rendezvousOrder(server.key, near.empty() ? all : near);
    const auto place = std::find(order.begin(), order.end(), m_self) - order.begin();
    return m_ranks[server.key] = { static_cast<std::size_t>(place), order.size() };
}

double ServerLimits::ownRate(const ServerState &server, double perSecond) const
{
    const Rank rank = rankFor(server);
    const double used = std::max(perSecond * UsedFraction, MinPerSecond);
    const double wanted = std::max(std::floor(used / MinShare), 1.0);
    const double senders = std::min(wanted, static_cast<double>(rank.candidates));
    return static_cast<double>(rank.place) < senders ? used / senders : 0;
}

double ServerLimits::tokensAt(const Limit &limit, double rate, SteadyTime now)
{
    const double burst = std::max(1.0, rate * Seconds(BurstTime).count());
    return std::min(burst, limit.tokens + rate * Seconds(now - limit.filledAt).count());
}

bool ServerLimits::maySend(const ServerState &server, SteadyTime now) const
{
    // Called for every server of each request.
    if (m_limits.empty())
        return true;
    const auto found = m_limits.find(server.key);
    if (found == m_limits.end() || !found->second.perSecond)
        return true;
    const double rate = ownRate(server, *found->second.perSecond);
    return rate > 0 && tokensAt(found->second, rate, now) >= 1;
}

void ServerLimits::requestSent(const ServerState &server, SteadyTime now)
{
    const auto found = m_limits.find(server.key);
    if (found == m_limits.end() || !found->second.perSecond)
        return;
    Limit &limit = found->second;
    limit.tokens = tokensAt(limit, ownRate(server, *limit.perSecond), now) - 1;
    limit.filledAt = now;
}

std::optional<milliseconds> ServerLimits::waitFor(const ServerState &server, SteadyTime now) const
{
    const auto found = m_limits.find(server.key);
    if (found == m_limits.end() || !found->second.perSecond)
        return milliseconds(0);
    const double rate = ownRate(server, *found->second.perSecond);
    if (rate <= 0)
        return std::nullopt;
    const double missing = std::max(0.0, 1 - tokensAt(found->second, rate, now));
    return std::chrono::ceil<milliseconds>(Seconds(missing / rate));
}

} // namespace snipestall::serving
