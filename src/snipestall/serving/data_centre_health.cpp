#include "snipestall/serving/data_centre_health.hpp"

#include <algorithm>

namespace snipestall::serving {

void DataCentreHealth::lost(const std::string &server, SteadyTime now)
{
    if (now - m_lastLost > Together)
        m_lost.clear();
    m_lastLost = now;
    m_lost.insert(server);
    if (m_lost.size() < LostServers)
        return;
    if (now < m_avoidUntil)
        return;
    m_avoidUntil = now + m_pause;
    m_pause = std::min(2 * m_pause, LongestPause);
}

void DataCentreHealth::answered()
{
    m_lost.clear();
    m_avoidUntil = {};
    m_pause = FirstPause;
}

} // namespace snipestall::serving
