#pragma once

#include "snipestall/policy/handles.hpp"

#include <deque>
#include <unordered_set>

namespace snipestall::policy {

/// Incarnations of backend servers that have had notice; they never get work again.
class DepartedServers
{
public:
    void insert(ServerHandle server);
    [[nodiscard]] bool contains(ServerHandle server) const { return m_servers.contains(server); }

private:
    std::unordered_set<ServerHandle> m_servers;
    std::deque<ServerHandle> m_order;
};

} // namespace snipestall::policy
