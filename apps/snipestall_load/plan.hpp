#pragma once

#include "mix.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::load {

/// One call to be sent at its time, whatever became of the earlier ones.
struct PlannedCall
{
    std::chrono::nanoseconds at { 0 };
    /// Index into the mix's classes.
    std::size_t workClass = 0;
    std::uint64_t number = 0;
    std::string prompt;
    std::int64_t maxTokens = 0;
    bool idempotent = true;
    /// Empty: none.
    std::string idempotencyKey;
    bool repeated = false;
    bool followsRetryAfter = false;
    /// Where it starts among the targets.
    std::size_t target = 0;
};

/// All calls of a mix in time order: exponential gaps, so arrivals come in clusters as real ones
/// do. `run` makes keys and prompts of different runs differ.
std::vector<PlannedCall> planCalls(const Mix &mix, std::size_t targets, const std::string &run);

} // namespace snipestall::load
