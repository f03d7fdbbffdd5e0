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
};

} // namespace snipestall::peer
