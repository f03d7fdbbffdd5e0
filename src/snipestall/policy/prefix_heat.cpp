#include "snipestall/policy/prefix_heat.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy {
namespace {

/// No more are needed, because only the few most used prefixes are reported.
constexpr std::size_t MaxCountedPrefixes = 1024;

/// A prefix whose count falls below this has not been seen for some seconds.
constexpr double MinKeptCount = 0.05;

constexpr double DecayFactor = 0.9;

} // namespace

std::uint32_t PrefixHeat::keyOf(std::span<const std::uint64_t> prefix)
{
    return prefix.empty() ? 0 : static_cast<std::uint32_t>(prefix.front());
}

void PrefixHeat::record(std::span<const std::uint64_t> prefix)
{
    const bool full = m_counts.size() >= MaxCountedPrefixes && !m_counts.contains(keyOf(prefix));
    if (!prefix.empty() && !full)
        m_counts[keyOf(prefix)] += 1;
}

void PrefixHeat::decay()
{
    for (auto &[key, count] : m_counts)
        count *= DecayFactor;
    std::erase_if(m_counts, [](const auto &entry) { return entry.second < MinKeptCount; });
}

std::vector<std::uint32_t> PrefixHeat::hottest(std::size_t maxResults) const
{
    std::vector<std::pair<double, std::uint32_t>> byCount;
    byCount.reserve(m_counts.size());
    for (const auto &[key, count] : m_counts)
        byCount.emplace_back(-count, key);
    std::sort(byCount.begin(), byCount.end());
    byCount.resize(std::min(maxResults, byCount.size()));
    std::vector<std::uint32_t> keys;
    keys.reserve(byCount.size());
    for (const auto &[count, key] : byCount)
        keys.push_back(key);
    std::sort(keys.begin(), keys.end());
    return keys;
}

} // namespace snipestall::policy
