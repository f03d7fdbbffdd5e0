#include "snipestall/serving/answered_parts.hpp"

#include <utility>

namespace snipestall::serving {

void AnsweredParts::add(std::uint64_t key, SteadyTime now)
{
    const bool full = m_newer.size() >= MaxPerGeneration && !m_newer.contains(key);
    if (now - m_newerSince >= GenerationLength || full) {
        m_older = std::exchange(m_newer, {});
        m_newerSince = now;
    }
    m_newer[key] = now;
}

std::optional<SteadyTime> AnsweredParts::last(std::uint64_t key) const
{
    for (const Times *times : { &m_newer, &m_older }) {
        if (const auto found = times->find(key); found != times->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace snipestall::serving
