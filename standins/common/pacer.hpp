#pragma once

#include "snipestall/base/clock.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::standins {

/// Serves units of work one after another at a fixed rate: tells each caller how long to wait.
class Pacer
{
public:
    /// No limit at 0 per second.
    explicit Pacer(double unitsPerSecond)
        : m_unitsPerSecond(unitsPerSecond)
    { }

    std::chrono::nanoseconds reserve(SteadyTime now, double units)
    {
        if (m_unitsPerSecond <= 0)
            return {};
        const std::chrono::duration<double> work(units / m_unitsPerSecond);
        const SteadyTime start = std::max(now, m_freeAt);
        m_freeAt = start + std::chrono::duration_cast<SteadyTime::duration>(work);
        return m_freeAt - now;
    }

private:
    double m_unitsPerSecond;
    SteadyTime m_freeAt {};
};

} // namespace snipestall::standins
