#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/settings/sha256.hpp"
#include "snipestall/wire/spawn.hpp"

#include "attempt.hpp"
#include "outcome_unknown.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::entry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// A platform that has not decided a claim within this time is likely to stay down or slow for
/// longer. The caller gets an error and can retry instead of waiting until its deadline.
constexpr milliseconds ClaimTimeout { 2000 };
constexpr milliseconds OutcomePollInterval { 200 };
constexpr milliseconds DefaultRetryAfter { 1000 };
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

} // namespace

wire::Task<bool> Dispatcher::claim(Attempt &attempt)
{
    const RequestPtr request = attempt.request;
    const RequestSpec &spec = request->spec();
    // An earlier attempt was granted the claim and sent no byte, so the claim is still unused.
    if (!request->claimedBy.empty())
        co_return true;
    peer::ClaimRequest claim;
    claim.key = { spec.customer, spec.service, spec.idempotencyKey };
    claim.request = spec.id;
    claim.attempt = attempt.id;
    claim.bodyHash = settings::sha256Hex(spec.body);
    claim.deadline = std::min(spec.deadline, steady_clock::now() + ClaimTimeout);
    const peer::ClaimOutcome outcome = co_await m_deps.claims->claim(claim);
    if (outcome.verdict == peer::ClaimVerdict::Granted)
        request->claimedBy = attempt.id;
    if (request->finished() || request->moved || attempt.cancelled) {
        releaseClaim(*request);
        co_return false;
    }
    if (outcome.verdict == peer::ClaimVerdict::Granted)
        co_return true;
    if (outcome.verdict == peer::ClaimVerdict::Unsettled) {
        FinalAnswer answer;
        answer.outcome = Outcome::NotRun;
        answer.status = StatusUnavailable;
        answer.code = "platform-unavailable";
        answer.reason =
            "the platform's table does not respond, so a request that must not run twice "
            "cannot be claimed";
        answer.retryAfter = DefaultRetryAfter;
        finish(request, std::move(answer));
        co_return false;
    }
    if (outcome.bodyHash != claim.bodyHash) {
        FinalAnswer answer;
        answer.outcome = Outcome::NotRun;
        answer.status = StatusConflict;
        answer.code = "key-reused";
        answer.reason =
            "this Idempotency-Key was already used with a different body; use a new key";
        finish(request, std::move(answer));
        co_return false;
    }
    // The slot is released while this request waits for the outcome of the other attempt.
    m_deps.policy->post(policy::RequestCancelled { request->handle() });
    attempt.endHandled = true;
    request->cancelCallbacks().erase(attempt.handle.value);
    m_onServer.erase(attempt.handle);
    co_await awaitOutcome(request);
    co_return false;
}

wire::Task<void> Dispatcher::awaitOutcome(RequestPtr request)
{
    const RequestSpec &spec = request->spec();
    while (!request->finished() && steady_clock::now() < spec.deadline) {
        const peer::ClaimKey key { spec.customer, spec.service, spec.idempotencyKey };
        const auto found = co_await m_deps.claims->lookup(key);
        // The holder has released the key, or its claim never took effect: this request may try.
        if (found && !found->has_value())
            co_return submit(request, true);
        if (found && (*found)->outcome) {
            const peer::StoredOutcome &stored = *(*found)->outcome;
            FinalAnswer answer;
            answer.outcome = outcomeFrom(stored.outcome);
            answer.status = stored.status;
            answer.contentType = stored.contentType;
            answer.body = stored.body;
            // A body that was not kept cannot be repeated, and an empty one would look like the
            // answer.
            if (stored.bodyDropped) {
                answer.outcome = Outcome::Unknown;
                answer.status = StatusGatewayTimeout;
                answer.reason = "the request ran once, but its answer was too long to be stored";
            }
            if (answer.outcome != Outcome::Completed) {
                answer.code = "outcome-unknown";
                if (answer.reason.empty())
                    answer.reason = "an earlier attempt with this key ended with this outcome";
            }
            finish(request, std::move(answer));
            co_return;
        }
        co_await wire::sleepFor(OutcomePollInterval);
    }
    finish(request, outcomeUnknown("another attempt holds this key, and its outcome is not known"));
}

void Dispatcher::awaitStoredOutcome(const RequestPtr &request)
{
    wire::spawn(*m_deps.io, awaitOutcome(request), "outcome");
}

void Dispatcher::releaseClaim(Request &request)
{
    if (request.maybeSent() || request.claimedBy.empty())
        return;
    const RequestSpec &spec = request.spec();
    const std::string attempt = std::exchange(request.claimedBy, {});
    m_deps.claims->releaseUnused({ spec.customer, spec.service, spec.idempotencyKey }, attempt);
}

/// Stores the outcome "unknown" for a claimed request whose answer was cut off, so that repeats get
/// it immediately.
void Dispatcher::storeUnknownOutcome(const Attempt &attempt)
{
    const RequestSpec &spec = attempt.request->spec();
    if (attempt.request->claimedBy.empty())
        return;
    const FinalAnswer answer = outcomeUnknown("the answer of the backend server was cut off");
    m_deps.claims->storeOutcome({ spec.customer, spec.service, spec.idempotencyKey },
                                attempt.request->claimedBy,
                                { answer.status, "", "", std::string(toString(answer.outcome)) });
}

} // namespace snipestall::entry
