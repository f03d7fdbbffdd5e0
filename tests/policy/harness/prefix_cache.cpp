#include "policy/harness/prefix_cache.hpp"

#include <algorithm>

namespace snipestall::policy::harness {

std::size_t PrefixCache::match(std::span<const std::uint64_t> chain)
{
    const auto miss = std::ranges::find_if(chain, [this](auto block) { return !touch(block); });
    return static_cast<std::size_t>(miss - chain.begin());
}

std::vector<PrefixCache::Change> PrefixCache::insert(std::span<const std::uint64_t> chain)
{
    std::vector<Change> changes;
    for (const auto block : chain) {
        if (touch(block)) {
            continue;
        }
        m_newestFirst.push_front(block);
        m_places[block] = m_newestFirst.begin();
        changes.push_back({ block, true });
        if (m_places.size() <= m_capacity) {
            continue;
        }
        changes.push_back({ m_newestFirst.back(), false });
        m_places.erase(m_newestFirst.back());
        m_newestFirst.pop_back();
    }
    return changes;
}

bool PrefixCache::touch(std::uint64_t block)
{
    const auto place = m_places.find(block);
    if (place == m_places.end()) {
        return false;
    }
    m_newestFirst.splice(m_newestFirst.begin(), m_newestFirst, place->second);
    return true;
}

} // namespace snipestall::policy::harness
