#include "snipestall/serving/usage_ledger.hpp"

#include <algorithm>

namespace snipestall::serving {

void UsageLedger::addCounts(std::int64_t window, const std::string &process,
                            const UsageCounts &counts)
{
    UsageCounts &known = m_windows[window][process];
    for (const auto &[customer, count] : counts) {
        std::uint64_t &most = known[customer];
        most = std::max(most, count);
    }
}

bool UsageLedger::hasCounts(std::int64_t window, const std::string &process) const
{
    const auto found = m_windows.find(window);
    return found != m_windows.end() && found->second.contains(process);
}

std::map<std::string, UsageCounts> UsageLedger::countsByProcess(std::int64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? std::map<std::string, UsageCounts> {} : found->second;
}

UsageCounts UsageLedger::total(std::int64_t window) const
{
    UsageCounts sum;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return sum;
    for (const auto &[process, counts] : found->second) {
        for (const auto &[customer, count] : counts)
            sum[customer] += count;
    }
    return sum;
}

void UsageLedger::dropBefore(std::int64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

} // namespace snipestall::serving
