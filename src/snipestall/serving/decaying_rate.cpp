#include "snipestall/serving/decaying_rate.hpp"

#include <cmath>

namespace snipestall::serving {

using Seconds = std::chrono::duration<double>;

double DecayingRate::at(std::chrono::milliseconds period, SteadyTime now) const
{
    return m_perSecond * std::exp(-(Seconds(now - m_updated) / Seconds(period)));
}

void DecayingRate::add(double amount, std::chrono::milliseconds period, SteadyTime now)
{
    m_perSecond = at(period, now) + amount / Seconds(period).count();
    m_updated = now;
}

} // namespace snipestall::serving
