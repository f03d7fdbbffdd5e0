#pragma once

#include "snipestall/policy/handles.hpp"

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace snipestall::policy {

/// Which backend servers of a pool are believed to hold which prompt prefixes in their caches.
///
/// Filled from the policy's own dispatches as well as from cache events, because cache events come
/// late and some are lost. A wrong entry costs the recomputation of one prefix, never a wrong
/// answer.
class PrefixIndex
{
public:
    void add(std::uint64_t prefix, ServerHandle server);
    void remove(std::uint64_t prefix, ServerHandle server);
    /// Removes all prefixes of a server that is gone together with its cache.
    void forget(ServerHandle server);

    [[nodiscard]] std::span<const ServerHandle> holders(std::uint64_t prefix) const;
    [[nodiscard]] std::size_t size() const { return m_holders.size(); }

private:
    std::unordered_map<std::uint64_t, std::vector<ServerHandle>> m_holders;
    /// Prefixes of each server, oldest first.
    std::unordered_map<ServerHandle, std::deque<std::uint64_t>> m_prefixes;
};

} // namespace snipestall::policy
