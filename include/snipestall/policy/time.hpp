#pragma once

#include <chrono>

namespace snipestall::policy {

/// Clock of the policy. The policy never reads a clock: each batch of events carries its time.
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
