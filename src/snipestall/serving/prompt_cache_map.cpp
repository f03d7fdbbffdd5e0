#include "snipestall/serving/prompt_cache_map.hpp"

namespace snipestall::serving {

void PromptCacheMap::used(std::uint64_t part, const std::string &server, SteadyTime now)
{
    auto [found, added] = m_parts.try_emplace(part);
    if (!added)
        m_order.erase(found->second.position);
    m_order.push_back(part);
    found->second.position = std::prev(m_order.end());
    found->second.lastUse[server] = now;
    if (m_parts.size() <= MostParts)
        return;
    m_parts.erase(m_order.front());
    m_order.pop_front();
}

bool PromptCacheMap::holds(std::uint64_t part, const std::string &server, SteadyTime now) const
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end())
        return false;
    const auto use = found->second.lastUse.find(server);
    return use != found->second.lastUse.end() && now - use->second <= LongestAge;
}

void PromptCacheMap::forgetServer(const std::string &server)
{
    for (auto &[part, holders] : m_parts)
        holders.lastUse.erase(server);
}

} // namespace snipestall::serving
