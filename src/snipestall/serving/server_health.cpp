#include "snipestall/serving/server_health.hpp"

#include <algorithm>

namespace snipestall::serving {

std::chrono::milliseconds ServerHealth::pauseAfter(int before)
{
    constexpr int MaxDoublings = 3;
    return std::min(InitialPause * (1 << std::min(before, MaxDoublings)), MaxPause);
}

void ServerHealth::lost(SteadyTime now)
{
    m_avoidUntil = now + pauseAfter(m_consecutiveLosses);
    ++m_consecutiveLosses;
    m_failureRate += (1 - m_failureRate) * Smoothing;
}

void ServerHealth::stalled(SteadyTime now)
{
    if (now < m_silentUntil)
        return;
    m_silentUntil = now + pauseAfter(m_stalls);
    ++m_stalls;
}

void ServerHealth::heard()
{
    m_stalls = 0;
    m_silentUntil = {};
}

void ServerHealth::failed()
{
    m_failureRate += (1 - m_failureRate) * Smoothing;
}

void ServerHealth::answered()
{
    m_consecutiveLosses = 0;
    m_avoidUntil = {};
    m_failureRate -= m_failureRate * Smoothing;
}

} // namespace snipestall::serving
