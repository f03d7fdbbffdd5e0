#include "snipestall/serving/shutdown_plan.hpp"

#include <algorithm>

namespace snipestall::serving {

using std::chrono::milliseconds;

ShutdownPlan::ShutdownPlan(SteadyTime signalled, milliseconds grace)
    : m_signalled(signalled)
    , m_lastAnswerAt(signalled + grace - std::min(LastAnswerMargin, grace / LastAnswerPart))
    , m_endAt(signalled + grace - std::min(EndMargin, grace / EndPart))
{
    m_refuseAt = std::min(signalled + AcceptPeriod, m_lastAnswerAt);
}

} // namespace snipestall::serving
