#include "snipestall/serving/loop_lag.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

using std::chrono::milliseconds;

LoopLag::LoopLag(SteadyTime now)
{
    m_handled.fill(now);
}

void LoopLag::ticked(SteadyTime due, SteadyTime now)
{
    m_last = std::max(std::chrono::duration_cast<milliseconds>(now - due), milliseconds(0));
    m_worst = std::max(m_worst, m_last);
    std::rotate(m_handled.begin(), m_handled.begin() + 1, m_handled.end());
    m_handled.back() = now;
}

milliseconds LoopLag::takeWorst()
{
    return std::exchange(m_worst, milliseconds(0));
}

} // namespace snipestall::serving
