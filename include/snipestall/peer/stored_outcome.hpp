#pragma once

#include <string>

namespace snipestall::peer {

/// The final answer to a claimed request, stored to answer its repeats.
struct StoredOutcome
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// Value of the Snipestall-Outcome header: "completed", "failed" or "unknown".
    std::string outcome;
    /// The body was longer than the limit for stored bodies, so a repeat receives the outcome
    /// without the body.
    bool bodyDropped = false;
};

} // namespace snipestall::peer
