#include "snipestall/serving/server_reach.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

void ServerReach::failed(const std::string &server, SteadyTime now)
{
    m_failed[server] = now;
}

void ServerReach::reached()
{
    m_failed.clear();
    m_cutOff = false;
}

bool ServerReach::suspected(std::size_t servers, SteadyTime now)
{
    if (servers == 0)
        return false;
    if (m_cutOff)
        return true;
    std::erase_if(m_failed,
                  [now](const auto &entry) { return now - entry.second > FailureWindow; });
    return m_failed.size() >= std::min(servers, SuspicionThreshold);
}

bool ServerReach::confirm()
{
    return !std::exchange(m_cutOff, true);
}

} // namespace snipestall::serving
