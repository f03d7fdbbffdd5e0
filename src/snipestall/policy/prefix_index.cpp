#include "snipestall/policy/prefix_index.hpp"

#include <algorithm>
#include <cstddef>

namespace snipestall::policy {
namespace {

/// About the number of distinct prefixes that a server's limited cache holds; takes about 16 KB for
/// each server here.
constexpr std::size_t MaxPrefixesPerServer = 512;

/// A popular prefix needs only a few holders: with more, it would evict other prefixes from the
/// caches of all servers.
constexpr std::size_t MaxHoldersPerPrefix = 8;

} // namespace

void PrefixIndex::add(std::uint64_t prefix, ServerHandle server)
{
    std::vector<ServerHandle> &holders = m_holders[prefix];
    if (std::find(holders.begin(), holders.end(), server) != holders.end())
        return;
    if (holders.size() == MaxHoldersPerPrefix)
        holders.erase(holders.begin());
    holders.push_back(server);
    std::deque<std::uint64_t> &prefixes = m_prefixes[server];
    prefixes.push_back(prefix);
    if (prefixes.size() <= MaxPrefixesPerServer)
        return;
    const std::uint64_t oldest = prefixes.front();
    prefixes.pop_front();
    remove(oldest, server);
}

void PrefixIndex::remove(std::uint64_t prefix, ServerHandle server)
{
    const auto it = m_holders.find(prefix);
    if (it == m_holders.end())
        return;
    std::erase(it->second, server);
    if (it->second.empty())
        m_holders.erase(it);
}

void PrefixIndex::forget(ServerHandle server)
{
    const auto it = m_prefixes.find(server);
    if (it == m_prefixes.end())
        return;
    for (const std::uint64_t prefix : it->second)
        remove(prefix, server);
    m_prefixes.erase(it);
}

std::span<const ServerHandle> PrefixIndex::holders(std::uint64_t prefix) const
{
    const auto it = m_holders.find(prefix);
    if (it == m_holders.end())
        return {};
    return it->second;
}

} // namespace snipestall::policy
