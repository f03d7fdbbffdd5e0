#include "snipestall/serving/server_health.hpp"

#include <algorithm>

namespace snipestall::serving {

void ServerHealth::lost(SteadyTime now)
{
    constexpr int MaxDoublings = 3;
    const int doublings = std::min(m_consecutiveLosses, MaxDoublings);
    m_avoidUntil = now + std::min(InitialPause * (1 << doublings), MaxPause);
    ++m_consecutiveLosses;
    m_failureRate += (1 - m_failureRate) * Smoothing;
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
