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

constexpr Duration FirstBackoff = std::chrono::milliseconds(50);
constexpr Duration LongestBackoff = std::chrono::seconds(2);
constexpr std::uint32_t DoublingsAtMost = 6;

/// A request that failed this often fails for a reason of its own.
constexpr std::uint32_t MaxRetries = 6;

/// Time in which a peer's next summary comes, with some delay.
constexpr Duration SummaryWait = std::chrono::milliseconds(1500);

/// Failure: the connection broke after bytes left. It shows as a cut, and nobody can tell whether
/// the call ran. Sent again, a top-up is booked twice; so it ends here, and the edge, which knows
/// that bytes left, answers `unknown`.
bool mayHaveRun(const Request &request, AttemptResult result)
{
    const bool cut = result == AttemptResult::Cut || result == AttemptResult::ServerDied;
    return cut && !request.idempotent;
}

bool isDecline(AttemptResult result)
{
    return result == AttemptResult::Declined || result == AttemptResult::NotSent;
}

Duration backoff(State &state, const Request &request)
{
    const std::uint32_t doublings = std::min(request.retries, DoublingsAtMost);
    const Duration full = std::min(LongestBackoff, FirstBackoff * (1U << doublings));
    return state.jittered(full / 2);
}

/// The owner is full: its summary was old. Another peer, or this queue, can take it at once.
void takeBack(State &state, Request &request)
{
    state.peers.countDecline(request.peer, request.pool->service);
    withdraw(state, request);
    estimate(request);
    enqueue(state, request);
}

/// A server that had notice died of its reclaim, and one of many deaths at once of a common cause;
/// otherwise each request in flight there may be the cause.
bool isSuspicious(const State &state, const Request &request)
{
    const bool ownServer = request.phase == Phase::Running;
    return ownServer && !request.server->leaving && !request.pool->deaths.commonCause(state.now);
}

void countCrash(State &state, Request &request)
{
    Pool &pool = *request.pool;
    pool.deaths.add(state.now, request.server->handle);
    if (pool.deaths.commonCause(state.now))
        absolveRecent(state, pool);
    if (!isSuspicious(state, request))
        return;
    ++request.crashes;
    request.crashedAt = state.now;
    const std::uint32_t known = state.crashes.count(state.now, request.fingerprint);
    request.crashes = std::max(request.crashes, known);
}

void startAgain(State &state, Request &request)
{
    estimate(request);
    if (startElsewhere(state, request))
        return;
    if (request.crashes > 0)
        isolate(state, request);
    else
        enqueue(state, request);
}

/// What was lost with its server goes on at once: it is not the cause of any overload, and its
/// caller has waited already.
void resumeAfterDeath(State &state, Request &request)
{
    withdraw(state, request);
    startAgain(state, request);
}

/// Failure: a peer ran the request, its servers died of it, and run here it would take down a
/// third one. It shows as a death reported for a forwarded attempt; but the peer itself may have
/// died just as well. So it waits for the peer's next summary, which tells what it quarantined.
void askPeersFirst(State &state, Request &request)
{
    ++request.crashes;
    withdraw(state, request);
    estimate(request);
    delay(state, request, SummaryWait);
}

void retryLater(State &state, Request &request, Duration retryAfter)
{
    if (request.retries++ >= MaxRetries) {
        refuse(state, request, RefusalReason::RetriesExhausted, Duration::zero());
        return;
    }
    withdraw(state, request);
    estimate(request);
    delay(state, request, std::max(retryAfter, backoff(state, request)));
}

void noteFailure(State &state, Request &request)
{
    request.failedOn = request.server->handle;
    observeFailure(state, request);
}

} // namespace

void retry(State &state, Request &request, const AttemptEnded &event)
{
    const bool died = event.result == AttemptResult::ServerDied;
    if (died && request.phase == Phase::Running)
        countCrash(state, request);
    else if (request.phase == Phase::Running)
        noteFailure(state, request);
    if (request.crashes >= CrashTable::QuarantinedAt)
        refuse(state, request, RefusalReason::Quarantined, Duration::zero());
    else if (mayHaveRun(request, event.result))
        refuse(state, request, RefusalReason::RetriesExhausted, Duration::zero());
    else if (isDecline(event.result) && request.phase == Phase::Forwarded)
        takeBack(state, request);
    else if (died && request.phase == Phase::Running)
        resumeAfterDeath(state, request);
    else if (died)
        askPeersFirst(state, request);
    else
        retryLater(state, request, event.retryAfter);
}

void resumeDelayed(State &state)
{
    while (const auto handle = state.backoffs.popDue(state.now)) {
        Request *request = state.findRequest(*handle);
        if (!request)
            continue;
        withdraw(state, *request);
        const std::uint32_t known = state.crashes.crashes(state.now, request->fingerprint);
        if (known >= CrashTable::QuarantinedAt) {
            refuse(state, *request, RefusalReason::Quarantined, Duration::zero());
            continue;
        }
        // Not refused for want of budget: it was accepted. It waits for the budget to be earned.
        if (!request->pool->retryBudget.spend(state.now)) {
            delay(state, *request, state.jittered(LongestBackoff));
            continue;
        }
        startAgain(state, *request);
    }
}

} // namespace snipestall::policy
