#include "snipestall/policy/prefix_index.hpp"

#include <algorithm>
#include <cstddef>

namespace snipestall::policy {
namespace {

/// What a server's limited cache holds of distinct prefixes, and about 16 KB for each server here.
constexpr std::size_t PrefixesPerServer = 512;

/// A hot prefix needs a few homes, not all: more would push other prefixes out everywhere.
constexpr std::size_t HoldersPerPrefix = 8;

} // namespace

void PrefixIndex::add(std::uint64_t prefix, ServerHandle server)
{
    std::vector<ServerHandle> &holders = m_holders[prefix];
    if (std::find(holders.begin(), holders.end(), server) != holders.end())
        return;
    if (holders.size() == HoldersPerPrefix)
        holders.erase(holders.begin());
    holders.push_back(server);
    std::deque<std::uint64_t> &prefixes = m_prefixes[server];
    prefixes.push_back(prefix);
    if (prefixes.size() <= PrefixesPerServer)
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
