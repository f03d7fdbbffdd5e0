#pragma once

#include "snipestall/policy/time.hpp"

#include <optional>
#include <set>
#include <utility>

namespace snipestall::policy {

/// Ordered set of timers, each for the row of a table; each change costs O(log n).
template<typename HandleType>
class TimerSet
{
public:
    void add(Time at, HandleType handle) { m_timers.emplace(at, handle); }
    void remove(Time at, HandleType handle)
    {
        const auto it = m_timers.find({ at, handle });
        if (it != m_timers.end())
            m_timers.erase(it);
    }

    /// Takes out one timer that is due; no value when none is.
    std::optional<HandleType> popDue(Time now)
    {
        if (m_timers.empty() || m_timers.begin()->first > now)
            return std::nullopt;
        const HandleType handle = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        return handle;
    }

    [[nodiscard]] std::optional<Time> next() const
    {
        if (m_timers.empty())
            return std::nullopt;
        return m_timers.begin()->first;
    }

private:
    /// One row may have several timers at the same time.
    std::multiset<std::pair<Time, HandleType>> m_timers;
};

} // namespace snipestall::policy
