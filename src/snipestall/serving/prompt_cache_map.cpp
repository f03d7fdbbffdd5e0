#include "snipestall/serving/prompt_cache_map.hpp"

namespace snipestall::serving {

void PromptCacheMap::recordUse(std::uint64_t part, const std::string &server, SteadyTime now)
{
    auto [found, added] = m_parts.try_emplace(part);
    if (!added)
        m_order.erase(found->second.orderPosition);
    m_order.push_back(part);
    found->second.orderPosition = std::prev(m_order.end());
    found->second.lastUse[server] = now;
    if (m_parts.size() <= MaxParts)
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
    return use != found->second.lastUse.end() && now - use->second <= MaxAge;
}

void PromptCacheMap::forgetServer(const std::string &server)
{
    for (auto &[part, use] : m_parts)
        use.lastUse.erase(server);
}

} // namespace snipestall::serving
