#include "policy/harness/virtual_loop.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy::harness {

void VirtualLoop::at(Time when, Action action)
{
    m_entries.push(Entry { std::max(when, m_now), m_order, std::move(action) });
    ++m_order;
}

void VirtualLoop::after(Duration delay, Action action)
{
    at(m_now + delay, std::move(action));
}

void VirtualLoop::runUntil(Time end)
{
    while (!m_entries.empty() && m_entries.top().when <= end) {
        m_now = m_entries.top().when;
        const Action action = m_entries.top().action;
        m_entries.pop();
        action();
    }
    m_now = std::max(m_now, end);
}

} // namespace snipestall::policy::harness
