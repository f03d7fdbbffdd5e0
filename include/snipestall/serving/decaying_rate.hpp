#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>

namespace snipestall::serving {

/// Exponentially decaying average of a rate per second, computed from amounts that arrive at any
/// times. `period` is the averaging period.
///
/// Amounts are never divided by the time between two of them, because reports that happen to arrive
/// a millisecond apart would then look like a flood.
class DecayingRate
{
public:
    void add(double amount, std::chrono::milliseconds period, SteadyTime now);
    /// The average rate per second at `now`.
    [[nodiscard]] double at(std::chrono::milliseconds period, SteadyTime now) const;

private:
    double m_perSecond = 0;
    SteadyTime m_updated;
};

} // namespace snipestall::serving
