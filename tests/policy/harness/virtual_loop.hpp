#pragma once

#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace snipestall::policy::harness {

/// Runs actions in the order of virtual time; actions of the same moment run in the order in which
/// they were added.
class VirtualLoop
{
public:
    using Action = std::function<void()>;

    [[nodiscard]] Time now() const { return m_now; }
    void at(Time when, Action action);
    void after(Duration delay, Action action);
    void runUntil(Time end);

private:
    struct Entry
    {
        Time when;
        std::uint64_t order = 0;
        Action action;
    };
    struct Later
    {
        bool operator()(const Entry &a, const Entry &b) const
        {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    Time m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
};

} // namespace snipestall::policy::harness
