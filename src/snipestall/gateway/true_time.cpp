#include "snipestall/gateway/true_time.hpp"

#include <algorithm>

namespace snipestall::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void TrueTime::storeAnswered(milliseconds storeTime, SteadyTime now)
{
    // An answer that took long makes the store's clock look late, so the greatest lead is the best.
    const milliseconds lead = storeTime - duration_cast<milliseconds>(now.time_since_epoch());
    m_lead = m_lead ? std::max(*m_lead, lead) : lead;
}

milliseconds TrueTime::storeTimeAt(SteadyTime now) const
{
    return duration_cast<milliseconds>(now.time_since_epoch()) + m_lead.value_or(milliseconds(0));
}

milliseconds TrueTime::localOffset(WallTime wall, SteadyTime now) const
{
    return duration_cast<milliseconds>(wall.time_since_epoch()) - storeTimeAt(now);
}

WallTime TrueTime::at(SteadyTime now) const
{
    return WallTime(storeTimeAt(now) + m_offset.value_or(milliseconds(0)));
}

} // namespace snipestall::gateway
