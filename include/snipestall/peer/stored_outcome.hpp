#pragma once

#include <string>

namespace snipestall::peer {

/// The final answer to a claimed request, for its repeats.
struct StoredOutcome
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// As in the Snipestall-Outcome header: "completed", "failed" or "unknown".
    std::string outcome;
    /// The body was longer than the table keeps: a repeat learns what came of it, not the body.
    bool bodyDropped = false;
};

} // namespace snipestall::peer
