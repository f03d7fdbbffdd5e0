#include "snipestall/policy/token_bucket.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// Wait returned when the rate is zero; an earlier retry can't succeed without new settings.
constexpr Duration ZeroRateWait = std::chrono::seconds(60);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void TokenBucket::configure(double perSecond, double burst)
{
    if (!m_configured)
        m_level = burst;
    m_configured = true;
    m_perSecond = perSecond;
    m_burst = burst;
    m_level = std::min(m_level, m_burst);
}

Duration TokenBucket::waitFor(Time now, double cost) const
{
    if (m_perSecond <= 0)
        return ZeroRateWait;
    const double missing = std::min(cost, m_burst) - levelAt(now);
    if (missing <= 0)
        return Duration::zero();
    const std::chrono::duration<double> wait(missing / m_perSecond);
    return std::chrono::ceil<Duration>(wait);
}

void TokenBucket::take(Time now, double cost)
{
    m_level = levelAt(now) - cost;
    m_updatedAt = now;
}

void TokenBucket::refund(double cost)
{
    m_level = std::min(m_burst, m_level + cost);
}

double TokenBucket::levelAt(Time now) const
{
    const double gained = m_perSecond * seconds(now - m_updatedAt);
    return std::min(m_burst, m_level + gained);
}

} // namespace snipestall::policy
