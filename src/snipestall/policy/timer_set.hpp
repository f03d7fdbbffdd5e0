#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <optional>
#include <set>
#include <utility>

namespace snipestall::policy {

/// Times at which something is due for a request, ordered; each change is O(log n).
class TimerSet
{
public:
    void add(Time at, RequestHandle request) { m_timers.emplace(at, request); }
    void remove(Time at, RequestHandle request) { m_timers.erase({ at, request }); }

    /// Takes out one timer that is due.
    std::optional<RequestHandle> popDue(Time now);

    [[nodiscard]] std::optional<Time> next() const;

private:
    std::set<std::pair<Time, RequestHandle>> m_timers;
};

} // namespace snipestall::policy
