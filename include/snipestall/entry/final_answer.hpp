#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace snipestall::entry {

/// What became of a request, as the Snipestall-Outcome header says it.
enum class Outcome {
    Completed,
    /// No byte of any attempt has left.
    NotRun,
    /// It may have run; it is not sent again.
    Unknown,
    /// It was run, and failed or was not finished in time.
    Failed,
};

std::string_view toString(Outcome outcome);
Outcome outcomeFrom(std::string_view text);

/// The end of a request. A model's answer is its pieces; `body` then stays empty.
struct FinalAnswer
{
    Outcome outcome = Outcome::Failed;
    int status = 500;
    std::string contentType;
    std::string body;
    /// Short fixed word for programs, when the outcome is not Completed.
    std::string code;
    /// For people: what happened.
    std::string reason;
    /// When to come back; zero when that is of no use.
    std::chrono::milliseconds retryAfter {};
};

} // namespace snipestall::entry
