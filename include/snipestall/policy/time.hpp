#pragma once

#include <chrono>

namespace snipestall::policy {

/// The policy's own time line. It never reads a clock: time comes in with each batch of events.
struct PolicyClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<PolicyClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name
};

using Duration = PolicyClock::duration;
using Time = PolicyClock::time_point;

} // namespace snipestall::policy
