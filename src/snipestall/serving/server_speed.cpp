#include "snipestall/serving/server_speed.hpp"

#include <algorithm>

namespace snipestall::serving {

void ServerSpeed::compareWith(std::chrono::duration<double> medianPause)
{
    if (m_pause && medianPause.count() > 0)
        m_slowness = std::clamp(*m_pause / medianPause, MinSlowness, MaxSlowness);
}

} // namespace snipestall::serving
