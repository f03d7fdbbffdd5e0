#include "snipestall/base/recent_hashes.hpp"

#include <utility>

namespace snipestall {

void RecentHashes::add(std::uint64_t hash, SteadyTime now)
{
    if (now - m_begun >= Generation || m_newer.size() >= MostOfGeneration) {
        m_older = std::exchange(m_newer, {});
        m_begun = now;
    }
    m_newer.insert(hash);
}

bool RecentHashes::contains(std::uint64_t hash) const
{
    return m_newer.contains(hash) || m_older.contains(hash);
}

} // namespace snipestall
