#pragma once

#include "mix.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::load {

/// One call of a plan. It is sent at its time, whether or not earlier calls have ended.
struct PlannedCall
{
    /// Time from the start of the plan.
    std::chrono::nanoseconds at { 0 };
    /// Index into the mix's classes.
    std::size_t workClass = 0;
    /// Index of the call in the plan.
    std::uint64_t number = 0;
    std::string prompt;
    std::int64_t maxTokens = 0;
    bool idempotent = true;
    /// Empty: the call has no key.
    std::string idempotencyKey;
    /// Whether the call is sent a second time, to another target.
    bool repeated = false;
    /// Whether a refused call is sent again after its Retry-After time.
    bool followsRetryAfter = false;
    /// Number of the target that the call is sent to first.
    std::size_t target = 0;
};

/// Plans all calls of a mix, in the order of their times. The gaps between them are exponentially
/// distributed, so that arrivals form clusters as real ones do. `run` is part of each key and
/// generated prompt, so that those of different runs differ.
std::vector<PlannedCall> planCalls(const Mix &mix, std::size_t targets, const std::string &run);

} // namespace snipestall::load
