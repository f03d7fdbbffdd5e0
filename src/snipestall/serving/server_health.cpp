#include "snipestall/serving/server_health.hpp"

#include <algorithm>

namespace snipestall::serving {

void ServerHealth::lost(SteadyTime now)
{
    constexpr int MostDoublings = 3;
    const int doublings = std::min(m_lostInRow, MostDoublings);
    m_avoidUntil = now + std::min(FirstPause * (1 << doublings), LongestPause);
    ++m_lostInRow;
    m_failureRate += (1 - m_failureRate) * Smoothing;
}

void ServerHealth::failed()
{
    m_failureRate += (1 - m_failureRate) * Smoothing;
}

void ServerHealth::answered()
{
    m_lostInRow = 0;
    m_avoidUntil = {};
    m_failureRate -= m_failureRate * Smoothing;
}

} // namespace snipestall::serving
