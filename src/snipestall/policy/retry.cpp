#include "snipestall/policy/retry.hpp"

#include "snipestall/policy/health.hpp"
#include "snipestall/policy/isolation.hpp"
#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/stranded.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

constexpr Duration InitialBackoff = std::chrono::milliseconds(50);
constexpr Duration MaxBackoff = std::chrono::seconds(2);
constexpr std::uint32_t MaxDoublings = 6;

/// The cause of a request that fails this often is the request itself.
constexpr std::uint32_t MaxRetries = 6;

/// Time within which a peer's next summary arrives, with some margin.
constexpr Duration SummaryWait = std::chrono::milliseconds(1500);

/// Whether a non-idempotent request may have run: the connection broke after bytes were sent, and
/// it is unknown whether the call ran. If it were sent again, a top-up would be booked twice, so
/// the request ends here. The I/O layer, which knows that bytes were sent, answers `unknown`.
bool mayHaveRun(const Request &request, AttemptResult result)
{
    const bool cut = result == AttemptResult::ConnectionLost || result == AttemptResult::ServerDied;
    return cut && !request.idempotent;
}

bool isDecline(AttemptResult result)
{
    return result == AttemptResult::Declined || result == AttemptResult::NotSent;
}

Duration backoff(State &state, const Request &request)
{
    const std::uint32_t doublings = std::min(request.retries, MaxDoublings);
    const Duration full = std::min(MaxBackoff, InitialBackoff * (1U << doublings));
    return state.jittered(full / 2);
}

/// Queues a request again that the owner declined because it is full and its summary was old.
/// Another peer, or a server here, can take the request at once.
void requeueDeclined(State &state, Request &request)
{
    state.peers.recordDecline(request.peer, request.pool->service);
    leavePhase(state, request);
    estimate(request);
    enqueue(state, request);
}

/// A server that had notice died of its reclaim, and one of many servers that die at once died of a
/// common cause. Otherwise each request in flight on the server may be the cause.
bool isSuspicious(const State &state, const Request &request)
{
    const bool ownServer = request.phase == Phase::Running;
    return ownServer && !request.server->leaving && !request.pool->deaths.hasCommonCause(state.now);
}

void recordCrashOf(State &state, Request &request)
{
    Pool &pool = *request.pool;
    pool.deaths.add(state.now, request.server->handle);
    if (pool.deaths.hasCommonCause(state.now))
        clearRecentSuspects(state, pool);
    if (!isSuspicious(state, request))
        return;
    ++request.crashes;
    request.crashedAt = state.now;
    const std::uint32_t known = state.crashes.recordCrash(state.now, request.fingerprint);
    request.crashes = std::max(request.crashes, known);
}

void restart(State &state, Request &request)
{
    estimate(request);
    if (startElsewhere(state, request))
        return;
    if (request.crashes > 0)
        isolate(state, request);
    else
        enqueue(state, request);
}

/// Resumes a request at once that was lost with its server: it did not cause an overload, and its
/// caller has already waited.
void resumeAfterDeath(State &state, Request &request)
{
    leavePhase(state, request);
    restart(state, request);
}

/// Guards against this failure: a peer ran the request, its servers died of it, and the request
/// would take down a third server here. The only sign is a death reported for a forwarded attempt,
/// but the peer itself may have died instead. The request therefore waits for the peer's next
/// summary, which names the quarantined requests.
void waitForPeerSummary(State &state, Request &request)
{
    ++request.crashes;
    leavePhase(state, request);
    estimate(request);
    delay(state, request, SummaryWait);
}

void retryLater(State &state, Request &request, Duration retryAfter)
{
    if (request.retries++ >= MaxRetries) {
        refuse(state, request, RefusalReason::RetriesExhausted, Duration::zero());
        return;
    }
    leavePhase(state, request);
    estimate(request);
    delay(state, request, std::max(retryAfter, backoff(state, request)));
}

void recordFailure(State &state, Request &request)
{
    request.failedOn = request.server->handle;
    observeFailure(state, request);
}

} // namespace

void retry(State &state, Request &request, const AttemptEnded &event)
{
    const bool died = event.result == AttemptResult::ServerDied;
    if (died && request.phase == Phase::Running)
        recordCrashOf(state, request);
    else if (request.phase == Phase::Running)
        recordFailure(state, request);
    if (request.crashes >= CrashTable::QuarantineThreshold)
        refuse(state, request, RefusalReason::Quarantined, Duration::zero());
    else if (mayHaveRun(request, event.result))
        refuse(state, request, RefusalReason::RetriesExhausted, Duration::zero());
    else if (isDecline(event.result) && request.phase == Phase::Forwarded)
        requeueDeclined(state, request);
    else if (died && request.phase == Phase::Running)
        resumeAfterDeath(state, request);
    else if (died)
        waitForPeerSummary(state, request);
    else
        retryLater(state, request, event.retryAfter);
}

void resumeDelayed(State &state)
{
    while (const auto handle = state.backoffs.popDue(state.now)) {
        Request *request = state.findRequest(*handle);
        if (!request)
            continue;
        leavePhase(state, *request);
        const std::uint32_t known = state.crashes.crashes(state.now, request->fingerprint);
        if (known >= CrashTable::QuarantineThreshold) {
            refuse(state, *request, RefusalReason::Quarantined, Duration::zero());
            continue;
        }
        // An accepted request is not refused for lack of budget. It waits until the budget is
        // earned.
        if (!request->pool->retryBudget.spend(state.now)) {
            delay(state, *request, state.jittered(MaxBackoff));
            continue;
        }
        restart(state, *request);
    }
}

} // namespace snipestall::policy
