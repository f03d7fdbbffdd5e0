#include "snipestall/serving/server_rest.hpp"

#include <algorithm>

namespace snipestall::serving {

void ServerRest::extend(SteadyTime until, SteadyTime now)
{
    if (!inForce(now))
        m_movedRuns = 0;
    m_until = std::max(m_until, until);
    m_onTrial = true;
    m_nextTrial = std::max(m_nextTrial, m_until);
}

void ServerRest::requestSent(SteadyTime now)
{
    m_nextTrial = std::max(m_until, now + TrialInterval);
}

void ServerRest::requestAccepted(SteadyTime sentAt)
{
    if (sentAt >= m_until)
        m_onTrial = false;
}

bool ServerRest::admitsMovedRun(SteadyTime now)
{
    return !inForce(now) || m_movedRuns++ < MaxMovedRuns;
}

} // namespace snipestall::serving
