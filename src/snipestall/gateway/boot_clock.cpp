#include "snipestall/gateway/boot_clock.hpp"

#include <ctime>

namespace snipestall::gateway {

SteadyTime BootClock::steadyNow() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime BootClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace snipestall::gateway
