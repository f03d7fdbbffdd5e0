#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/settings/sha256.hpp"

#include "attempt.hpp"
#include "outcome_unknown.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::entry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// A platform that has not settled a claim by then is down or slow for longer; the caller had
/// better hear so and come back than wait out its deadline.
constexpr milliseconds ClaimPatience { 2000 };
constexpr milliseconds OutcomePoll { 200 };
constexpr milliseconds DefaultRetryAfter { 1000 };
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

} // namespace

wire::Task<bool> Dispatcher::claim(Attempt &attempt)
{
    const RequestPtr request = attempt.request;
    const RequestSpec &spec = request->spec();
    // An earlier attempt got the claim and left no byte: the permission is still unused.
    if (!request->claimedBy.empty())
        co_return true;
    peer::ClaimRequest claim;
    claim.key = { spec.customer, spec.service, spec.idempotencyKey };
    claim.request = spec.id;
    claim.attempt = attempt.id;
    claim.bodyHash = settings::sha256Hex(spec.body);
    claim.deadline = std::min(spec.deadline, steady_clock::now() + ClaimPatience);
    const peer::ClaimOutcome outcome = co_await m_links.claims->claim(claim);
    if (outcome.verdict == peer::ClaimVerdict::Granted)
        request->claimedBy = attempt.id;
    if (request->finished() || request->moved || attempt.cancelled) {
        giveBackClaim(*request);
        co_return false;
    }
    if (outcome.verdict == peer::ClaimVerdict::Granted)
        co_return true;
    if (outcome.verdict == peer::ClaimVerdict::Unsettled) {
        FinalAnswer answer;
        answer.outcome = Outcome::NotRun;
        answer.status = StatusUnavailable;
        answer.code = "platform-unavailable";
        answer.reason = "the platform's table does not answer: a request that must not run twice "
                        "can't be claimed";
        answer.retryAfter = DefaultRetryAfter;
        finish(request, std::move(answer));
        co_return false;
    }
    if (outcome.bodyHash != claim.bodyHash) {
        FinalAnswer answer;
        answer.outcome = Outcome::NotRun;
        answer.status = StatusConflict;
        answer.code = "key-reused";
        answer.reason = "this Idempotency-Key was used with another body; choose a new key";
        finish(request, std::move(answer));
        co_return false;
    }
    // The slot is given back while the other attempt's outcome is waited for.
    m_links.policy->post(policy::RequestCancelled { request->handle() });
    attempt.over = true;
    request->cancels().erase(attempt.handle.value);
    m_onServer.erase(attempt.handle);
    co_await awaitOutcome(request);
    co_return false;
}

wire::Task<void> Dispatcher::awaitOutcome(RequestPtr request)
{
    const RequestSpec &spec = request->spec();
    while (!request->finished() && steady_clock::now() < spec.deadline) {
        const peer::ClaimKey key { spec.customer, spec.service, spec.idempotencyKey };
        const auto found = co_await m_links.claims->lookup(key);
        // The holder gave the key back, or its claim never took effect: this request's turn.
        if (found && !found->has_value())
            co_return submit(request, true);
        if (found && (*found)->outcome) {
            const peer::StoredOutcome &stored = *(*found)->outcome;
            FinalAnswer answer;
            answer.outcome = outcomeFrom(stored.outcome);
            answer.status = stored.status;
            answer.contentType = stored.contentType;
            answer.body = stored.body;
            // What is not kept can't be given again, and an empty body would pass for the answer.
            if (stored.bodyDropped) {
                answer.outcome = Outcome::Unknown;
                answer.status = StatusGatewayTimeout;
                answer.reason = "it ran once, but its answer was too long to be kept";
            }
            if (answer.outcome != Outcome::Completed) {
                answer.code = "outcome-unknown";
                if (answer.reason.empty())
                    answer.reason = "an earlier attempt with this key ended so";
            }
            finish(request, std::move(answer));
            co_return;
        }
        co_await wire::sleepFor(OutcomePoll);
    }
    finish(request, outcomeUnknown("another attempt holds this key and its outcome is not known"));
}

void Dispatcher::awaitStoredOutcome(const RequestPtr &request)
{
    boost::asio::co_spawn(*m_links.io, awaitOutcome(request), boost::asio::detached);
}

void Dispatcher::giveBackClaim(Request &request)
{
    if (request.maybeSent() || request.claimedBy.empty())
        return;
    const RequestSpec &spec = request.spec();
    const std::string attempt = std::exchange(request.claimedBy, {});
    m_links.claims->giveBack({ spec.customer, spec.service, spec.idempotencyKey }, attempt);
}

/// A claimed request whose answer was cut: its repeats are told at once that nobody knows.
void Dispatcher::storeUnknown(const Attempt &attempt)
{
    const RequestSpec &spec = attempt.request->spec();
    if (attempt.request->claimedBy.empty())
        return;
    const FinalAnswer answer = outcomeUnknown("the answer of the backend server was cut");
    m_links.claims->storeOutcome({ spec.customer, spec.service, spec.idempotencyKey },
                                 attempt.request->claimedBy,
                                 { answer.status, "", "", std::string(toString(answer.outcome)) });
}

} // namespace snipestall::entry
