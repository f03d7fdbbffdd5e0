#include "snipestall/serving/retry_allowance.hpp"

#include <algorithm>

namespace snipestall::serving {

using std::chrono::milliseconds;

RetryAllowance::RetryAllowance(RetryLimits limits)
    : m_limits(limits)
    , m_lifetime(std::chrono::duration_cast<milliseconds>(limits.window * LifetimeInWindows))
    , m_fixed(m_lifetime)
{ }

void RetryAllowance::addFixed(ExpiringCredits::Batch batch)
{
    m_fixed.add(batch);
    for (auto &[name, credits] : m_services)
        credits.add(batch);
}

void RetryAllowance::earnFixed(SteadyTime now)
{
    if (m_instances == 0)
        return;
    const double perSecond = EarnedFraction * m_limits.slack / static_cast<double>(m_instances)
        / std::chrono::duration<double>(m_limits.window).count();
    // After a long pause, the credits of each part of it have their own age.
    const milliseconds step = std::max(m_lifetime / 10, milliseconds(1));
    SteadyTime from = std::max(m_fixedEarnedUntil, now - m_lifetime);
    while (from < now) {
        const SteadyTime until = std::min<SteadyTime>(from + step, now);
        addFixed({ from, perSecond * std::chrono::duration<double>(until - from).count() });
        from = until;
    }
    m_fixedEarnedUntil = std::max(m_fixedEarnedUntil, now);
}

void RetryAllowance::setInstances(std::size_t count, SteadyTime now)
{
    if (m_instances == 0)
        m_fixedEarnedUntil = m_startsWithFixed ? now - m_lifetime : now;
    else
        earnFixed(now);
    m_instances = std::max<std::size_t>(count, 1);
}

ExpiringCredits &RetryAllowance::creditsFor(const std::string &service)
{
    return m_services.try_emplace(service, m_fixed).first->second;
}

void RetryAllowance::countFirstAttempt(const std::string &service, SteadyTime now)
{
    earnFixed(now);
    creditsFor(service).add({ now, EarnedFraction * m_limits.ratio });
}

std::optional<RepeatCredit> RetryAllowance::takeRepeat(const std::string &service, SteadyTime now)
{
    earnFixed(now);
    const auto spent = creditsFor(service).spend(1, now);
    if (!spent)
        return std::nullopt;
    return RepeatCredit { service, spent->earnedAt };
}

bool RetryAllowance::hasRepeat(const std::string &service, SteadyTime now)
{
    earnFixed(now);
    return creditsFor(service).hasAtLeast(1, now);
}

void RetryAllowance::giveBack(const RepeatCredit &credit)
{
    creditsFor(credit.service).add({ credit.earnedAt, 1 });
}

RetryLevels RetryAllowance::levels(SteadyTime now)
{
    earnFixed(now);
    RetryLevels levels;
    for (const auto &[service, credits] : m_services)
        levels[service] = credits.total(now);
    return levels;
}

std::vector<RetryGrant> RetryAllowance::handOver(const RetryLevels &peerLevels, SteadyTime now)
{
    earnFixed(now);
    std::vector<RetryGrant> grants;
    for (auto &[service, credits] : m_services) {
        const auto found = peerLevels.find(service);
        const double peer = found == peerLevels.end() ? 0 : found->second;
        const double own = credits.total(now);
        if (own < SparesFrom || own < peer * SparesAtRatio)
            continue;
        const ExpiringCredits::Batch taken = credits.takeNewest((own - peer) / 2, now);
        grants.push_back({ service, taken.amount,
                           std::chrono::duration_cast<milliseconds>(now - taken.earnedAt) });
    }
    return grants;
}

void RetryAllowance::receive(const RetryGrant &grant, SteadyTime now)
{
    if (grant.credits > 0 && grant.age >= milliseconds(0))
        creditsFor(grant.service).add({ now - grant.age, grant.credits });
}

} // namespace snipestall::serving
