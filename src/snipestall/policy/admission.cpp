#include "snipestall/policy/admission.hpp"

#include "snipestall/policy/isolation.hpp"
#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/limits.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/wait_estimate.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace snipestall::policy {
namespace {

/// Load: a flood that outruns every refusal by wait. Bounds memory to a few megabytes a pool.
constexpr std::size_t MaxQueued = 16384;

/// One customer may fill half of it; the other half stays open to the others.
constexpr std::size_t MaxQueuedPerFlow = MaxQueued / 2;

/// Callers that come back sooner than this only cost a second refusal.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(200);

/// For what another instance can serve at once.
constexpr Duration RetryElsewhere = std::chrono::milliseconds(200);

constexpr Duration LatestReturn = std::chrono::seconds(15);

constexpr Duration RetryUnknown = std::chrono::seconds(5);

/// One hop to a peer and back inside a data centre, with its queueing.
constexpr Duration HopTime = std::chrono::milliseconds(5);

/// A tenth is added to the expected wait: at saturation the queue settles where the last one
/// admitted just makes it, and half of those would then miss.
constexpr int WaitMargin = 10;

/// Normal work is let in while its wait takes up to three quarters of its target. The rest covers
/// the prompt, and an estimate made for the mean request while more urgent work keeps coming.
constexpr double NormalTargetPart = 0.75;

/// Urgent work is refused later: it seldom waits long, a rush of it is over within a second, and an
/// answer that comes a little late helps its caller more than none.
constexpr double UrgentTargetPart = 1.5;

void fillIn(Request &request, const RequestArrived &event)
{
    request.handle = event.request;
    request.urgency = event.urgency;
    request.promptTokens = event.promptTokens;
    request.maxTokens = event.maxTokens;
    request.idempotent = event.idempotent;
    request.forwarded = event.forwarded;
    request.accepted = event.accepted;
    request.prefix = event.prefix;
    request.deadline = event.deadline;
    request.produced = event.resumeOffset;
    request.crashes = event.crashes;
    request.fingerprint = event.fingerprint;
}

bool isShortUrgent(const Request &request)
{
    const std::uint32_t shortTokens = request.pool->settings.shortTokens;
    const bool isShort = request.promptTokens + request.maxTokens <= shortTokens;
    return isShort && request.urgency == Urgency::Urgent;
}

Request &addRow(State &state, const RequestArrived &event)
{
    Request &request = state.requests[event.request];
    fillIn(request, event);
    request.pool = &state.pool(event.service);
    request.pool->now = state.now;
    request.flow = &state.flow(*request.pool, event.customer);
    request.arrived = state.now;
    request.shortUrgent = isShortUrgent(request);
    if (request.deadline == Time {})
        request.deadline = state.now + request.flow->leaf.deadline;
    const std::uint32_t crashes = state.crashes.crashes(state.now, request.fingerprint);
    request.crashes = std::max(request.crashes, crashes);
    ++request.flow->live;
    estimate(request);
    return request;
}

/// The wait here, or at the peer that would start it first.
std::optional<Duration> shortestWait(const State &state, const Request &request)
{
    std::optional<Duration> wait = expectedWait(*request.pool, request);
    if (request.forwarded)
        return wait;
    const auto peer =
        state.peers.best(state.now, request.pool->service, FairQueue::laneOf(request));
    if (peer && (!wait || peer->wait + HopTime < *wait))
        wait = peer->wait + HopTime;
    return wait;
}

struct Verdict
{
    RefusalReason reason = RefusalReason::NoCapacity;
    Duration retryAfter {};
};

std::optional<Verdict> checkQueueBounds(const Request &request)
{
    const bool poolFull = request.pool->queue.size() >= MaxQueued;
    const bool flowFull = request.flow->queued() >= MaxQueuedPerFlow;
    if (!poolFull && !flowFull)
        return std::nullopt;
    const Duration wait = expectedWait(*request.pool, request).value_or(LeastRetryAfter);
    return Verdict { RefusalReason::QueueFull, std::max(wait, LeastRetryAfter) };
}

/// No server here or at any peer: wait for a replacement if the deadline leaves time for its
/// start and nobody is sitting in front of the answer.
std::optional<Verdict> checkWithoutCapacity(const State &state, const Request &request)
{
    const Duration startTime = request.pool->settings.startTime;
    const bool timeForStart = state.now + startTime < request.giveUpAt;
    if (timeForStart && request.urgency != Urgency::Urgent)
        return std::nullopt;
    return Verdict { RefusalReason::NoCapacity, std::max(startTime / 4, LeastRetryAfter) };
}

/// Longest wait with which a request still meets what was promised for it.
Duration longestWait(const State &state, const Request &request)
{
    const Duration untilLate = request.deadline - request.service - state.now;
    if (request.urgency == Urgency::Patient)
        return untilLate;
    const bool urgent = request.urgency == Urgency::Urgent;
    const std::chrono::duration<double> target = request.flow->leaf.firstTokenTarget;
    const auto longest = target * (urgent ? UrgentTargetPart : NormalTargetPart);
    return std::min(untilLate, std::chrono::duration_cast<Duration>(longest));
}

/// Load: three times what the pool can do for some seconds. Told only when the queue has drained,
/// all refused callers come back at that moment, and most are refused again until they give up.
/// Each is told the time at which those told before could have been served. Bounded, since many
/// never come back.
Duration spacedReturn(const State &state, const Request &request, Duration soonest)
{
    Pool &pool = *request.pool;
    const std::uint32_t slots = pool.slotsFor(Lane::Normal);
    if (FairQueue::laneOf(request) != Lane::Normal || slots == 0)
        return soonest;
    const Time from = std::max(pool.returnsEnd, state.now + soonest);
    pool.returnsEnd = std::min(from + request.service / slots, state.now + LatestReturn);
    return pool.returnsEnd - state.now;
}

/// Load: more work than the pool can finish in time, as after a wave of reclaims. Harm: what can't
/// meet its target takes the slots of what can, until nothing does, and the queue outlasts the
/// overload; its callers learn too late to go elsewhere. Come back once the queue has drained to
/// where the target would have been met. Patient work has its deadline as its only target. What a
/// peer sent on an old summary goes back to it: it has a place in the queue there.
std::optional<Verdict> checkWait(const State &state, const Request &request)
{
    const std::optional<Duration> wait = shortestWait(state, request);
    if (!wait)
        return checkWithoutCapacity(state, request);
    const Duration over = *wait + *wait / WaitMargin - longestWait(state, request);
    if (over <= Duration::zero())
        return std::nullopt;
    const Duration retryAfter = std::max(over, LeastRetryAfter);
    return Verdict { RefusalReason::Late, spacedReturn(state, request, retryAfter) };
}

std::optional<Verdict> checkLimits(State &state, const Request &request)
{
    if (request.forwarded)
        return std::nullopt;
    const std::optional<LimitReached> reached = checkLimit(state, request);
    if (!reached)
        return std::nullopt;
    return Verdict { reached->reason, std::max(reached->wait, LeastRetryAfter) };
}

std::optional<Verdict> verdictOn(State &state, const Request &request)
{
    if (request.crashes >= CrashTable::QuarantinedAt)
        return Verdict { RefusalReason::Quarantined, Duration::zero() };
    if (request.accepted)
        return std::nullopt;
    if (state.leaving)
        return Verdict { RefusalReason::Leaving, RetryElsewhere };
    if (!request.pool->known || (!request.flow->known && !request.forwarded))
        return Verdict { RefusalReason::UnknownService, RetryUnknown };
    if (const auto verdict = checkLimits(state, request))
        return verdict;
    if (const auto verdict = checkQueueBounds(request))
        return verdict;
    return checkWait(state, request);
}

void countLoad(const State &state, Request &request)
{
    const Lane lane = FairQueue::laneOf(request);
    if (lane == Lane::Urgent)
        request.pool->urgentLoad.add(state.now, request.service);
    else if (lane == Lane::Normal)
        request.pool->normalLoad.add(state.now, request.service);
}

/// A name that no settings know gets no rows, or callers could fill the tables with names.
bool refuseUnknown(State &state, const RequestArrived &event)
{
    if (event.accepted || state.pools.contains(event.service))
        return false;
    const Duration retryAfter = state.jittered(RetryUnknown);
    state.emit(Refuse { event.request, RefusalReason::UnknownService, retryAfter });
    return true;
}

} // namespace

void onRequestArrived(State &state, const RequestArrived &event)
{
    if (state.requests.contains(event.request) || refuseUnknown(state, event))
        return;
    Request &request = addRow(state, event);
    const std::optional<Verdict> verdict = verdictOn(state, request);
    if (verdict) {
        refuse(state, request, verdict->reason, verdict->retryAfter);
        return;
    }
    if (!request.forwarded)
        takeLimits(state, request);
    countLoad(state, request);
    if (request.crashes > 0)
        isolate(state, request);
    else
        enqueue(state, request);
}

void expireQueued(State &state)
{
    while (const auto handle = state.giveUps.popDue(state.now)) {
        if (Request *request = state.findRequest(*handle))
            refuse(state, *request, RefusalReason::Expired, Duration::zero());
    }
}

} // namespace snipestall::policy
