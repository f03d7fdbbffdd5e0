#pragma once

#include "violation.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::load {

/// Outcome of a call, as its caller saw it.
enum class CallOutcome {
    Completed,
    /// Refused; the answer said that nothing was run.
    NotRun,
    /// The answer said that the call may or may not have been run.
    Unknown,
    Failed,
    /// A 4xx status: the call itself was invalid.
    Rejected,
    /// No target could be reached; no byte was sent.
    Unreachable,
    /// May have been sent, but the connection failed before the answer began, and the call may not
    /// be sent again.
    NoAnswer,
    /// Accepted, but the complete answer could not be obtained.
    Lost,
};

constexpr std::size_t CallOutcomes = 8;

/// The name of an outcome in the report.
constexpr std::string_view toString(CallOutcome outcome)
{
    constexpr std::array<std::string_view, CallOutcomes> Names {
        "completed", "not-run", "unknown", "failed", "rejected", "unreachable", "no-answer", "lost"
    };
    return Names.at(static_cast<std::size_t>(outcome));
}

/// One refusal that preceded, or is, the final outcome of a call.
struct Refusal
{
    /// Request ID.
    std::string request;
    /// Whether the answer had a Retry-After header.
    bool withTime = false;
};

/// Result of one planned call over all its tries.
struct CallRecord
{
    /// Index into the mix's classes.
    std::size_t workClass = 0;
    /// Number of the call in the plan.
    std::uint64_t number = 0;
    /// Request ID of the last try; empty if no target returned one.
    std::string request;
    std::string idempotencyKey;
    /// Whether the call was for a plain service; otherwise it was a chat call.
    bool service = false;
    bool idempotent = true;
    CallOutcome outcome = CallOutcome::Lost;
    std::vector<Refusal> refusals;
    std::vector<Violation> violations;
    /// Tokens received: one for each text chunk of the answer.
    std::int64_t tokens = 0;
    /// Requests to resume an accepted request whose stream was cut.
    std::int64_t comeBacks = 0;
    /// Times the call was sent again because it got no answer.
    std::int64_t resends = 0;
    /// Times a server told the caller to resume at an earlier offset.
    std::int64_t rewinds = 0;
    /// Receipt of a plain service.
    std::string receipt;
    /// Message of the last error, for the report.
    std::string reason;
    /// Time from when the call was due to its first token.
    std::chrono::nanoseconds firstToken { 0 };
    /// Time from when the call was due to its end.
    std::chrono::nanoseconds total { 0 };
};

} // namespace snipestall::load
