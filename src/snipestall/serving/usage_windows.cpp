#include "snipestall/serving/usage_windows.hpp"

namespace snipestall::serving {

std::int64_t UsageWindows::windowOf(WallTime time) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch())
        / m_length;
}

WallTime UsageWindows::endOf(std::int64_t window) const
{
    return WallTime(m_length * (window + 1));
}

void UsageWindows::requestStarted(const std::string &customer, WallTime time)
{
    ++m_windows[windowOf(time)][customer];
}

UsageCounts UsageWindows::counts(std::int64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? UsageCounts {} : found->second;
}

void UsageWindows::dropBefore(std::int64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

} // namespace snipestall::serving
