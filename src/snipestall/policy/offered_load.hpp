#pragma once

#include "snipestall/policy/time.hpp"

#include <chrono>
#include <cmath>

namespace snipestall::policy {

/// Slots that a kind of work keeps busy on average: slot time asked for over the last seconds.
class OfferedLoad
{
public:
    void add(Time now, Duration service)
    {
        m_load = at(now) + seconds(service) / MemorySeconds;
        m_changedAt = now;
    }

    [[nodiscard]] double at(Time now) const
    {
        return m_load * std::exp(-seconds(now - m_changedAt) / MemorySeconds);
    }

private:
    /// Follows a burst within seconds, and doesn't fall between two requests.
    static constexpr double MemorySeconds = 5.0;

    static double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    double m_load = 0;
    Time m_changedAt;
};

} // namespace snipestall::policy
