#include "snipestall/serving/return_time.hpp"

#include <algorithm>

namespace snipestall::serving {

namespace {

using std::chrono::milliseconds;

/// Callers wait at most this part of the time that they have left.
constexpr int LongestWaitDivisor = 3;
/// Part of their wait over which callers are spread.
constexpr double Spread = 0.25;

} // namespace

milliseconds returnTime(const RefusedCaller &caller, double random)
{
    // A request that comes back takes as long as a new one, so half of the target is left for it.
    if (caller.target.count() <= 0 || caller.roomAfter <= caller.target / 2)
        return caller.roomAfter;
    const std::chrono::duration<double, std::milli> longest =
        (caller.left / LongestWaitDivisor) * (1 - Spread * random);
    return std::max(caller.roomAfter, std::chrono::duration_cast<milliseconds>(longest));
}

milliseconds returnTimeAfter(milliseconds wait, double random)
{
    const std::chrono::duration<double, std::milli> spread = wait * (1 + Spread * random);
    return std::chrono::ceil<milliseconds>(spread);
}

} // namespace snipestall::serving
