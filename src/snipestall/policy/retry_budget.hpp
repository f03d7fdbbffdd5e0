#pragma once

#include <algorithm>

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
    bool spend()
    {
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    static constexpr double EarnedPerAttempt = 0.2;
    /// Covers one broken server's worth of attempts at once.
    static constexpr double Most = 32;

    double m_level = Most;
};

} // namespace snipestall::policy
