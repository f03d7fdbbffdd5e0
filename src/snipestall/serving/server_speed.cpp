#include "snipestall/serving/server_speed.hpp"

#include <algorithm>

namespace snipestall::serving {

namespace {

/// Added to what is compared: the network and the processes on both sides vary by this much, which
/// says nothing of the server.
constexpr std::chrono::milliseconds Jitter { 3 };

} // namespace

void ServerSpeed::compareWith(std::chrono::duration<double> medianPause)
{
    if (m_pause && medianPause.count() > 0)
        m_slowness =
            std::clamp((*m_pause + Jitter) / (medianPause + Jitter), MinSlowness, MaxSlowness);
}

} // namespace snipestall::serving
