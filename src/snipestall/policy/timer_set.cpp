#include "snipestall/policy/timer_set.hpp"

namespace snipestall::policy {

std::optional<RequestHandle> TimerSet::popDue(Time now)
{
    if (m_timers.empty() || m_timers.begin()->first > now)
        return std::nullopt;
    const RequestHandle request = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    return request;
}

std::optional<Time> TimerSet::next() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

} // namespace snipestall::policy
