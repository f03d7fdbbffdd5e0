#pragma once

#include "violation.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::load {

/// How a call ended for its caller.
enum class CallOutcome {
    Completed,
    NotRun,
    Unknown,
    Failed,
    /// 4xx: the call itself was at fault.
    Rejected,
    /// No target could be reached; no byte left.
    Unreachable,
    /// Cut before the answer began and not to be sent again.
    NoAnswer,
    Lost,
};

constexpr std::size_t CallOutcomes = 8;

constexpr std::string_view toString(CallOutcome outcome)
{
    constexpr std::array<std::string_view, CallOutcomes> Names {
        "completed", "not-run", "unknown", "failed", "rejected", "unreachable", "no-answer", "lost"
    };
    return Names.at(static_cast<std::size_t>(outcome));
}

/// One refusal on the way to the final outcome.
struct Refusal
{
    std::string request;
    bool withTime = false;
};

/// What became of one planned call, all its tries included.
struct CallRecord
{
    std::size_t workClass = 0;
    std::uint64_t number = 0;
    /// Of the last try; empty if no target gave one.
    std::string request;
    std::string idempotencyKey;
    bool service = false;
    bool idempotent = true;
    CallOutcome outcome = CallOutcome::Lost;
    std::vector<Refusal> refusals;
    std::vector<Violation> violations;
    std::int64_t tokens = 0;
    std::int64_t comeBacks = 0;
    std::int64_t resends = 0;
    std::int64_t rewinds = 0;
    std::string receipt;
    /// Of the last error, for the report.
    std::string reason;
    /// From the time at which the call was due.
    std::chrono::nanoseconds firstToken { 0 };
    std::chrono::nanoseconds total { 0 };
};

} // namespace snipestall::load
