#pragma once

#include "snipestall/policy/time.hpp"

namespace snipestall::policy {

/// Rate limit with a burst. A cost above the burst is allowed when the bucket is full and leaves a
/// debt, so that one long request is delayed in proportion to its size instead of being refused for
/// ever.
class TokenBucket
{
public:
    /// Keeps the fill level, so that a change of settings neither refills nor empties the bucket.
    void configure(double perSecond, double burst);

    /// Zero when `cost` may be taken now; otherwise the time until it may.
    [[nodiscard]] Duration waitFor(Time now, double cost) const;

    void take(Time now, double cost);

    /// Corrects an estimate by `cost` that was taken but not used.
    void refund(double cost);

private:
    [[nodiscard]] double levelAt(Time now) const;

    double m_perSecond = 0;
    double m_burst = 0;
    double m_level = 0;
    Time m_updatedAt;
    bool m_configured = false;
};

} // namespace snipestall::policy
