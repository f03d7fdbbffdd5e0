#include "snipestall/serving/expiry_window.hpp"

#include <algorithm>

namespace snipestall::serving {

ExpiryWindow::ExpiryWindow(std::chrono::milliseconds heartbeat, std::chrono::milliseconds drain)
    : m_minGap(heartbeat * MinGapHeartbeats)
    , m_length(std::min(RelistTime, drain - DrainMargin))
{ }

void ExpiryWindow::listReceived(std::chrono::milliseconds age, SteadyTime now)
{
    if (age > m_minGap)
        m_until = now + m_length;
}

} // namespace snipestall::serving
