#pragma once

#include "snipestall/policy/time.hpp"

#include <chrono>
#include <cmath>

namespace snipestall::policy {

/// Average number of slots that a kind of work keeps busy, from the slot time asked for in the last
/// seconds.
class OfferedLoad
{
public:
    void add(Time now, Duration slotTime)
    {
        m_load = at(now) + seconds(slotTime) / TimeConstantSeconds;
        m_changedAt = now;
    }

    [[nodiscard]] double at(Time now) const
    {
        return m_load * std::exp(-seconds(now - m_changedAt) / TimeConstantSeconds);
    }

private:
    /// Short enough to follow a burst within seconds, and long enough that the load doesn't fall
    /// between two requests.
    static constexpr double TimeConstantSeconds = 5.0;

    static double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    double m_load = 0;
    Time m_changedAt;
};

} // namespace snipestall::policy
