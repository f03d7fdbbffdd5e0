#pragma once

#include "policy/harness/ask.hpp"

#include "snipestall/policy/command.hpp"

#include <cstdint>
#include <optional>

namespace snipestall::policy::harness {

using CallIndex = std::size_t;

enum class Outcome {
    Open,
    Answered,
    Refused,
    /// Given up by the system after its deadline.
    Expired,
    /// Ended without an answer after it had run.
    Failed,
    /// Given up by its caller.
    Cancelled,
};

/// One submission by a caller, and what came of it: a row of the ledger.
struct Call : Ask
{
    Time arrived {};
    Time deadline {};

    Outcome outcome = Outcome::Open;
    RefusalReason reason = RefusalReason::NoCapacity;
    Duration retryAfter {};
    std::optional<Time> firstToken;
    Time finished {};
    std::uint32_t produced = 0;
    std::uint32_t attempts = 0;
    std::uint32_t crashes = 0;
    /// An attempt may have run; for a call that is not idempotent no other may follow.
    bool mayHaveRun = false;
    /// Some attempt has read the whole prompt.
    bool prefilled = false;
    /// Prompt or output computed again by a later attempt.
    std::uint64_t lostTokens = 0;
    /// Prompt prefix computed again since the server chosen did not hold it.
    std::uint64_t missedTokens = 0;

    [[nodiscard]] bool inTarget() const;
};

} // namespace snipestall::policy::harness
