#include "snipestall/serving/server_speed.hpp"

#include <algorithm>

namespace snipestall::serving {

void ServerSpeed::addStreamPause(std::chrono::duration<double> pause)
{
    if (!m_pause)
        m_pause = pause;
    else
        *m_pause += (pause - *m_pause) * Smoothing;
}

void ServerSpeed::compareWith(std::chrono::duration<double> medianPause)
{
    if (m_pause && medianPause.count() > 0)
        m_slowness = std::clamp(*m_pause / medianPause, MinSlowness, MaxSlowness);
}

} // namespace snipestall::serving
