#pragma once

#include "snipestall/peer/stored_outcome.hpp"

#include <optional>
#include <string>

namespace snipestall::peer {

enum class ClaimVerdict {
    /// This attempt, and no other, may be sent.
    Granted,
    /// Another attempt holds the key: it may have run, or has an outcome.
    Held,
    /// The table did not settle the write in time: never to be sent; answer not-run.
    Unsettled,
};

struct ClaimOutcome
{
    ClaimVerdict verdict = ClaimVerdict::Unsettled;
    /// Held: the request and attempt that hold it, and what came of it if that is known.
    std::string holderRequest;
    std::string holderAttempt;
    /// Held: hash of the holder's body; a repeat with another body is a caller's mistake.
    std::string bodyHash;
    std::optional<StoredOutcome> outcome;
};

} // namespace snipestall::peer
