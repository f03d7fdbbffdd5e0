#pragma once

#include "snipestall/policy/time.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {

/// Retries that a pool may make, as a part of its first attempts.
///
/// Failure: servers that are overloaded fail attempts, the retries add load, and more attempts
/// fail; it shows as a pool that stays saturated after the burst that began it is over. With
/// retries at most a fifth of first attempts the added load stays below what a pool can absorb.
class RetryBudget
{
public:
    void earn() { m_level = std::min(Most, m_level + EarnedPerAttempt); }

    /// Takes one retry out; false when none is left.
    bool spend(Time now)
    {
        earnByTime(now);
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    // Failure: an owner dies, and what it ran uses the budget up. On an instance that gets no first
    // attempts nothing would earn it back: accepted requests would wait out their deadlines beside
    // idle servers. A few retries a second are nothing to a pool, however saturated.
    void earnByTime(Time now)
    {
        const std::chrono::duration<double> passed = now - m_earnedUpTo;
        m_level = std::min(Most, m_level + std::max(0.0, passed.count()) * EarnedPerSecond);
        m_earnedUpTo = now;
    }

    static constexpr double EarnedPerSecond = 4;
    static constexpr double EarnedPerAttempt = 0.2;
    /// Covers one broken server's worth of attempts at once.
    static constexpr double Most = 32;

    double m_level = Most;
    Time m_earnedUpTo;
};

} // namespace snipestall::policy
