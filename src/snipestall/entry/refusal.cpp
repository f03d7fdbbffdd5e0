#include "refusal.hpp"

#include "snipestall/entry/request.hpp"
#include "snipestall/policy/command.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace snipestall::entry {

namespace {

/// For refusals to which the policy names no time, such as that of an expired request.
constexpr std::chrono::milliseconds LeastRetryAfter { 1000 };

std::string_view explain(policy::RefusalReason reason)
{
    using policy::RefusalReason;
    switch (reason) {
    case RefusalReason::UnknownService:
        return "this data centre has no such service for you";
    case RefusalReason::RateLimit:
        return "more requests a second than your limit";
    case RefusalReason::TokenLimit:
        return "more tokens a second than your limit";
    case RefusalReason::ConcurrencyLimit:
        return "more requests at once than your limit";
    case RefusalReason::Late:
        return "it could not be answered before its deadline";
    case RefusalReason::QueueFull:
        return "too much waits already";
    case RefusalReason::NoCapacity:
        return "no backend server can take it now";
    case RefusalReason::Leaving:
        return "this instance is leaving";
    case RefusalReason::RetriesExhausted:
        return "its attempts failed";
    case RefusalReason::Quarantined:
        return "it took down two backend servers; change it before you send it again";
    case RefusalReason::Expired:
        return "its deadline passed";
    }
    return "no backend server can take it now";
}

// Failure: a stream that lost its server is forwarded to go on, and the peer has no room for it.
// Told that it failed there, since bytes had left the home before, the home takes the peer for one
// that lost an answer: it waits out a backoff, offers the stream to the same peer again, and has no
// offer left when another has room. A peer that sent nothing declines, whatever was sent before it.
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
        const bool comeBack = !quarantined && answer.retryAfter.count() == 0;
        if (comeBack && command.reason != policy::RefusalReason::UnknownService)
            answer.retryAfter = LeastRetryAfter;
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
