#include "snipestall/serving/load_spread.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace snipestall::serving {

LoadSpread::LoadSpread(std::vector<SpreadCandidate> candidates, double unseen)
    : m_candidates(std::move(candidates))
{
    std::vector<std::vector<double>> groups;
    for (const SpreadCandidate &candidate : m_candidates) {
        groups.resize(std::max(groups.size(), candidate.group + 1));
        groups[candidate.group].push_back(candidate.load);
    }
    m_levels.resize(groups.size());
    if (unseen <= 0)
        return;
    const double each = unseen / static_cast<double>(m_candidates.size());
    m_tolerance = each / 2;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        const double share = each * static_cast<double>(groups[i].size());
        if (!groups[i].empty())
            m_levels[i] = levelOf(std::move(groups[i]), share);
    }
}

double LoadSpread::levelOf(std::vector<double> loads, double unseen)
{
    std::make_heap(loads.begin(), loads.end(), std::greater<>());
    auto end = loads.end();
    double raisedCount = 0;
    double sum = 0;
    // The least loaded servers are raisedCount, one more as long as the level exceeds its load.
    while (end != loads.begin()) {
        const double lowest = loads.front();
        if (raisedCount > 0 && (unseen + sum) / raisedCount <= lowest)
            break;
        std::pop_heap(loads.begin(), end--, std::greater<>());
        sum += lowest;
        ++raisedCount;
    }
    return (unseen + sum) / raisedCount;
}

double LoadSpread::loadAt(std::size_t index) const
{
    const SpreadCandidate &candidate = m_candidates[index];
    return std::max(candidate.load, m_levels[candidate.group]);
}

std::size_t LoadSpread::choose(double random) const
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < m_candidates.size(); ++i) {
        if (loadAt(i) + m_candidates[i].own < loadAt(best) + m_candidates[best].own)
            best = i;
    }
    const double maxCost = loadAt(best) + m_candidates[best].own + m_tolerance;
    const auto weight = [this, maxCost](std::size_t i) {
        if (loadAt(i) + m_candidates[i].own > maxCost)
            return 0.0;
        // Servers that are equal have the same chance where nothing is unseen: a process that has
        // just started knows no rates yet, like all that started with it.
        return m_tolerance <= 0 ? 1.0 : loadAt(i) - m_candidates[i].load + m_tolerance;
    };
    double total = 0;
    for (std::size_t i = 0; i < m_candidates.size(); ++i)
        total += weight(i);
    double at = random * total;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        at -= weight(i);
        if (at < 0)
            return i;
    }
    return best;
}

} // namespace snipestall::serving
