#include "snipestall/policy/departed_servers.hpp"

#include <cstddef>

namespace snipestall::policy {
namespace {

/// More than an instance's servers lose in a day of waves; the list lags by seconds, not days.
constexpr std::size_t Remembered = 4096;

} // namespace

void DepartedServers::insert(ServerHandle server)
{
    if (!m_servers.insert(server).second)
        return;
    m_order.push_back(server);
    if (m_order.size() <= Remembered)
        return;
    m_servers.erase(m_order.front());
    m_order.pop_front();
}

} // namespace snipestall::policy
