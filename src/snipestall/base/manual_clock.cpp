#include "snipestall/base/manual_clock.hpp"

namespace snipestall {

void ManualClock::advance(std::chrono::nanoseconds by)
{
    m_steady += std::chrono::duration_cast<SteadyTime::duration>(by);
    m_wall += std::chrono::duration_cast<WallTime::duration>(by);
}

} // namespace snipestall
