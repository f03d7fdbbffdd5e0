#include "snipestall/gateway/common_time.hpp"

#include <algorithm>

namespace snipestall::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void CommonTime::observeStoreClock(milliseconds storeTime, SteadyTime now)
{
    // A slow answer makes the clock of the store appear to be behind, so the greatest difference is
    // the most accurate one.
    const milliseconds lead = storeTime - duration_cast<milliseconds>(now.time_since_epoch());
    m_lead = m_lead ? std::max(*m_lead, lead) : lead;
}

milliseconds CommonTime::storeTimeAt(SteadyTime now) const
{
    return duration_cast<milliseconds>(now.time_since_epoch()) + m_lead.value_or(milliseconds(0));
}

milliseconds CommonTime::localOffset(WallTime wall, SteadyTime now) const
{
    return duration_cast<milliseconds>(wall.time_since_epoch()) - storeTimeAt(now);
}

WallTime CommonTime::at(SteadyTime now) const
{
    return WallTime(storeTimeAt(now) + m_offset.value_or(milliseconds(0)));
}

} // namespace snipestall::gateway
