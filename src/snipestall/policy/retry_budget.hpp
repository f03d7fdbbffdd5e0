#pragma once

#include "snipestall/policy/time.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {

/// Retries that a pool may make, in proportion to its first attempts.
///
/// Guards against this failure: overloaded servers fail attempts, the retries add load, and more
/// attempts fail, so that a pool stays saturated after the burst that overloaded it is over. With
/// retries at most a fifth of first attempts, the added load stays below what a pool can absorb.
class RetryBudget
{
public:
    void earn() { m_level = std::min(MaxLevel, m_level + EarnedPerAttempt); }

    /// Takes one retry out of the budget; returns false when none is left.
    bool spend(Time now)
    {
        earnByTime(now);
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    // Guards against this failure: an owner dies, and the requests that it ran use up the budget.
    // On an instance that gets no first attempts nothing would refill the budget, and accepted
    // requests would wait until their deadlines beside idle servers. A few retries per second are a
    // negligible load for a pool, however saturated it is.
    void earnByTime(Time now)
    {
        const std::chrono::duration<double> passed = now - m_earnedUpTo;
        m_level = std::min(MaxLevel, m_level + std::max(0.0, passed.count()) * EarnedPerSecond);
        m_earnedUpTo = now;
    }

    static constexpr double EarnedPerSecond = 4;
    static constexpr double EarnedPerAttempt = 0.2;
    /// Enough for all attempts of one broken server at once.
    static constexpr double MaxLevel = 32;

    double m_level = MaxLevel;
    Time m_earnedUpTo;
};

} // namespace snipestall::policy
