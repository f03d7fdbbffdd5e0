#include "snipestall/serving/data_centre_health.hpp"

#include <algorithm>

namespace snipestall::serving {

void DataCentreHealth::lost(const std::string &server, SteadyTime now)
{
    if (now - m_lastLost > LossWindow)
        m_lostServers.clear();
    m_lastLost = now;
    m_lostServers.insert(server);
    if (m_lostServers.size() < SuspicionThreshold)
        return;
    if (now < m_avoidUntil)
        return;
    m_avoidUntil = now + m_pause;
    m_pause = std::min(2 * m_pause, MaxPause);
}

void DataCentreHealth::answered()
{
    m_lostServers.clear();
    m_avoidUntil = {};
    m_pause = InitialPause;
}

} // namespace snipestall::serving
