#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace snipestall::entry {

/// Outcome of a request, as reported in the Snipestall-Outcome header.
enum class Outcome {
    Completed,
    /// No byte of any attempt was sent.
    NotRun,
    /// The request may have run and is not sent again.
    Unknown,
    /// The request was run, and failed or did not finish in time.
    Failed,
};

std::string_view toString(Outcome outcome);
/// Returns Unknown for a text that names no outcome.
Outcome outcomeFrom(std::string_view text);

/// The final result of a request. The output of a model request is in its pieces, and `body` is
/// empty.
struct FinalAnswer
{
    Outcome outcome = Outcome::Failed;
    int status = 500;
    std::string contentType;
    std::string body;
    /// Machine-readable error code if the outcome is not Completed.
    std::string code;
    /// Human-readable description of the error.
    std::string reason;
    /// Time after which the caller should retry; zero if a retry is not useful.
    std::chrono::milliseconds retryAfter {};
};

} // namespace snipestall::entry
