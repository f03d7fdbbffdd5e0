#include "snipestall/policy/departed_servers.hpp"

#include <cstddef>

namespace snipestall::policy {
namespace {

/// More than the servers that an instance loses in a day of reclaim waves; the platform's list lags
/// by seconds, not days.
constexpr std::size_t MaxRemembered = 4096;

} // namespace

void DepartedServers::insert(ServerHandle server)
{
    if (!m_servers.insert(server).second)
        return;
    m_order.push_back(server);
    if (m_order.size() <= MaxRemembered)
        return;
    m_servers.erase(m_order.front());
    m_order.pop_front();
}

} // namespace snipestall::policy
