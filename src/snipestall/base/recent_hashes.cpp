#include "snipestall/base/recent_hashes.hpp"

#include <utility>

namespace snipestall {

void RecentHashes::add(std::uint64_t hash, SteadyTime now)
{
    if (now - m_newerSince >= GenerationLength || m_newer.size() >= MaxHashesPerGeneration) {
        m_older = std::exchange(m_newer, {});
        m_newerSince = now;
    }
    m_newer.insert(hash);
}

bool RecentHashes::contains(std::uint64_t hash) const
{
    return m_newer.contains(hash) || m_older.contains(hash);
}

} // namespace snipestall
