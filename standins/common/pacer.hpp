#pragma once

#include "snipestall/base/clock.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::standins {

/// Simulates a resource that serves units of work one after another at a fixed rate.
class Pacer
{
public:
    /// A rate of 0 means no limit.
    explicit Pacer(double unitsPerSecond)
        : m_unitsPerSecond(unitsPerSecond)
    { }

    /// Queues `units` of work and returns the time until they are done.
    std::chrono::nanoseconds reserve(SteadyTime now, double units)
    {
        if (m_unitsPerSecond <= 0)
            return {};
        const std::chrono::duration<double> work(units / m_unitsPerSecond);
        const SteadyTime start = std::max(now, m_busyUntil);
        m_busyUntil = start + std::chrono::duration_cast<SteadyTime::duration>(work);
        return m_busyUntil - now;
    }

private:
    double m_unitsPerSecond;
    SteadyTime m_busyUntil {};
};

} // namespace snipestall::standins
