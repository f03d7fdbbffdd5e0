#include "snipestall/base/system_clock.hpp"

namespace snipestall {

SteadyTime SystemClock::steadyNow() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace snipestall
