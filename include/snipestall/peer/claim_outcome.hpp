#pragma once

#include "snipestall/peer/stored_outcome.hpp"

#include <optional>
#include <string>

namespace snipestall::peer {

/// Result of a claim.
enum class ClaimVerdict {
    /// This attempt, and no other, may be sent.
    Granted,
    /// Another attempt holds the key. It may have been executed, or its outcome is stored.
    Held,
    /// The table did not confirm the write in time. The request must never be sent and is answered
    /// with "not-run".
    Unsettled,
};

/// Verdict on a claim and, if another attempt holds the key, what the table stores about it.
struct ClaimOutcome
{
    ClaimVerdict verdict = ClaimVerdict::Unsettled;
    /// Held: the request and the attempt that hold the key.
    std::string holderRequest;
    std::string holderAttempt;
    /// Held: hash of the holder's request body. A repeat with another body is an error of the
    /// caller.
    std::string bodyHash;
    /// Held: the holder's outcome, if it is known.
    std::optional<StoredOutcome> outcome;
};

} // namespace snipestall::peer
