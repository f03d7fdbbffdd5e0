#include "snipestall/serving/shutdown_plan.hpp"

#include <algorithm>

namespace snipestall::serving {

using std::chrono::milliseconds;

ShutdownPlan::ShutdownPlan(SteadyTime signalled, milliseconds grace)
    : m_signalled(signalled)
    , m_lastAnswerAt(signalled + std::max(grace - LastAnswerMargin, milliseconds(0)))
    , m_endAt(signalled + std::max(grace - EndMargin, milliseconds(0)))
{
    m_refuseAt = std::min(signalled + AcceptPeriod, m_lastAnswerAt);
}

} // namespace snipestall::serving
