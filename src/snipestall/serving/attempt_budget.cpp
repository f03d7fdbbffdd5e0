#include "snipestall/serving/attempt_budget.hpp"

#include <algorithm>

namespace snipestall::serving {

AttemptBudget::AttemptBudget(int attemptLimit)
{
    m_limit.runs = std::max(attemptLimit, 1);
    m_limit.sends = m_limit.runs + ExtraSends;
}

void AttemptBudget::restrictTo(const AttemptCounts &granted)
{
    m_limit.runs = std::clamp(granted.runs, 0, m_limit.runs);
    m_limit.sends = std::clamp(granted.sends, 0, m_limit.sends);
}

void AttemptBudget::usedElsewhere(const AttemptCounts &used)
{
    // What another instance states may be anything; it never gives attempts back.
    m_used.runs += std::clamp(used.runs, 0, runsLeft());
    m_used.sends += std::clamp(used.sends, 0, sendsLeft());
}

int AttemptBudget::runsLeft() const
{
    return std::max(m_limit.runs - m_used.runs, 0);
}

int AttemptBudget::sendsLeft() const
{
    return std::max(m_limit.sends - m_used.sends, 0);
}

} // namespace snipestall::serving
