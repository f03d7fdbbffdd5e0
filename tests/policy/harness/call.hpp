#pragma once

#include "policy/harness/request_spec.hpp"

#include "snipestall/policy/command.hpp"

#include <cstdint>
#include <optional>

namespace snipestall::policy::harness {

using CallIndex = std::size_t;

enum class Outcome {
    Open,
    Answered,
    Refused,
    /// The system gave it up after its deadline.
    Expired,
    /// It ended without an answer after it had run.
    Failed,
    /// Its caller gave it up.
    Cancelled,
};

/// One submission of a request by a caller, with its outcome: a row of the ledger.
struct Call : RequestSpec
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
    /// Whether an attempt may have run. A call that is not idempotent must not get another attempt
    /// then.
    bool mayHaveRun = false;
    /// Whether some attempt has prefilled the whole prompt.
    bool prefilled = false;
    /// Number of prompt or output tokens that a later attempt computed again.
    std::uint64_t lostTokens = 0;
    /// Number of tokens of the prompt prefix that were computed again because the chosen server did
    /// not hold them.
    std::uint64_t missedTokens = 0;

    [[nodiscard]] bool inTarget() const;
};

} // namespace snipestall::policy::harness
