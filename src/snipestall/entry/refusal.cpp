#include "refusal.hpp"

#include "snipestall/entry/request.hpp"
#include "snipestall/policy/command.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace snipestall::entry {

namespace {

/// Used for refusals for which the policy gives no time, such as that of an expired request.
constexpr std::chrono::milliseconds MinRetryAfter { 1000 };

std::string_view explain(policy::RefusalReason reason)
{
    using policy::RefusalReason;
    switch (reason) {
    case RefusalReason::UnknownService:
        return "the service does not exist in this data centre or is not available to this "
               "customer";
    case RefusalReason::RateLimit:
        return "the limit of requests per second is exceeded";
    case RefusalReason::TokenLimit:
        return "the limit of tokens per second is exceeded";
    case RefusalReason::ConcurrencyLimit:
        return "the limit of concurrent requests is exceeded";
    case RefusalReason::Late:
        return "the request cannot be completed before its deadline";
    case RefusalReason::QueueFull:
        return "the queue is full";
    case RefusalReason::NoCapacity:
        return "no backend server has capacity for the request now";
    case RefusalReason::Leaving:
        return "this instance is shutting down";
    case RefusalReason::RetriesExhausted:
        return "all attempts of the request failed";
    case RefusalReason::Quarantined:
        return "the request crashed two backend servers; change it before you send it again";
    case RefusalReason::Expired:
        return "the deadline of the request has passed";
    }
    return "no backend server has capacity for the request now";
}

// A stream that lost its server may be forwarded to a peer that has no capacity for it. If the peer
// answered `failed` because its home had sent bytes earlier, the home would conclude that the peer
// had lost an answer: it would wait for a backoff, forward the stream to the same peer again, and
// have no forwards left when another peer has capacity. Therefore a peer that has sent nothing
// answers `not run`, even if bytes were sent elsewhere before.
bool mayHaveRun(const Request &request)
{
    return request.forwarded ? request.sentHere() : request.maybeSent();
}

} // namespace

FinalAnswer refusal(const Request &request, const policy::Refuse &command)
{
    FinalAnswer answer;
    answer.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(command.retryAfter);
    answer.code = std::string(policy::toString(command.reason));
    answer.reason = std::string(explain(command.reason));
    const bool quarantined = command.reason == policy::RefusalReason::Quarantined;
    if (quarantined)
        answer.retryAfter = {};
    if (!mayHaveRun(request)) {
        answer.outcome = Outcome::NotRun;
        const bool retryable = !quarantined && answer.retryAfter.count() == 0;
        if (retryable && command.reason != policy::RefusalReason::UnknownService)
            answer.retryAfter = MinRetryAfter;
        const bool limit = command.reason == policy::RefusalReason::RateLimit
            || command.reason == policy::RefusalReason::TokenLimit
            || command.reason == policy::RefusalReason::ConcurrencyLimit;
        const bool unknown = command.reason == policy::RefusalReason::UnknownService;
        answer.status = unknown ? 404 : limit ? 429 : quarantined ? 422 : 503;
        return answer;
    }
    const bool mayRepeat = request.spec().idempotent;
    answer.outcome = mayRepeat ? Outcome::Failed : Outcome::Unknown;
    answer.status = quarantined ? 422 : 504;
    if (!mayRepeat)
        answer.retryAfter = {};
    return answer;
}

} // namespace snipestall::entry
