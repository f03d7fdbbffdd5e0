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

/// Bounds the memory of a pool to a few megabytes when requests arrive faster than refusals by
/// expected wait take effect.
constexpr std::size_t MaxQueued = 16384;

/// One customer may fill half of the queue; the other half stays open to other customers.
constexpr std::size_t MaxQueuedPerFlow = MaxQueued / 2;

/// A caller that comes back sooner than this only causes a second refusal.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);

/// For requests that another instance can serve at once.
constexpr Duration LeavingRetryAfter = std::chrono::milliseconds(200);

constexpr Duration MaxSpacedRetryAfter = std::chrono::seconds(15);

constexpr Duration UnknownServiceRetryAfter = std::chrono::seconds(5);

/// Time for one hop to a peer and back inside a data centre, including queueing.
constexpr Duration HopLatency = std::chrono::milliseconds(5);

/// A tenth is added to the expected wait. Without it, the queue settles at saturation where the
/// last admitted request just meets its target, and half of such requests would then miss it.
constexpr int WaitMarginDivisor = 10;

/// Normal work is admitted while its wait takes at most three quarters of its target. The rest
/// covers the prompt and the error of an estimate that is made for the mean request while more
/// urgent work keeps arriving.
constexpr double NormalTargetFactor = 0.75;

/// Urgent work is refused later: it seldom waits long, a burst of it is over within a second, and
/// an answer that comes a little late helps its caller more than no answer.
constexpr double UrgentTargetFactor = 1.5;

void copyFields(Request &request, const RequestArrived &event)
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

Request &addRequest(State &state, const RequestArrived &event)
{
    Request &request = state.requests[event.request];
    copyFields(request, event);
    request.pool = &state.pool(event.service);
    request.pool->now = state.now;
    request.flow = &state.flow(*request.pool, event.customer);
    request.arrived = state.now;
    request.shortUrgent = isShortUrgent(request);
    if (request.deadline == Time {})
        request.deadline = state.now + request.flow->leaf.deadline;
    const std::uint32_t crashes = state.crashes.crashes(state.now, request.fingerprint);
    request.crashes = std::max(request.crashes, crashes);
    ++request.flow->activeRequests;
    estimate(request);
    return request;
}

/// The expected wait here or at the peer that would start the request first, whichever is shorter.
std::optional<Duration> shortestWait(const State &state, const Request &request)
{
    std::optional<Duration> wait = expectedWait(*request.pool, request);
    if (request.forwarded)
        return wait;
    const auto peer =
        state.peers.best(state.now, request.pool->service, FairQueue::laneOf(request));
    if (peer && (!wait || peer->wait + HopLatency < *wait))
        wait = peer->wait + HopLatency;
    return wait;
}

struct Refusal
{
    RefusalReason reason = RefusalReason::NoCapacity;
    Duration retryAfter {};
};

std::optional<Refusal> checkQueueBounds(const Request &request)
{
    const bool poolFull = request.pool->queue.size() >= MaxQueued;
    const bool flowFull = request.flow->queued() >= MaxQueuedPerFlow;
    if (!poolFull && !flowFull)
        return std::nullopt;
    const Duration wait = expectedWait(*request.pool, request).value_or(MinRetryAfter);
    return Refusal { RefusalReason::QueueFull, std::max(wait, MinRetryAfter) };
}

/// Without a server here or at any peer, a request waits for a replacement if its deadline leaves
/// time for the start and it is not urgent.
std::optional<Refusal> checkWithoutCapacity(const State &state, const Request &request)
{
    const Duration startTime = request.pool->settings.startTime;
    const bool timeForStart = state.now + startTime < request.giveUpAt;
    if (timeForStart && request.urgency != Urgency::Urgent)
        return std::nullopt;
    return Refusal { RefusalReason::NoCapacity, std::max(startTime / 4, MinRetryAfter) };
}

/// Longest wait with which a request still meets its target.
Duration maxWait(const State &state, const Request &request)
{
    const Duration slack = request.deadline - request.slotTime - state.now;
    if (request.urgency == Urgency::Patient)
        return slack;
    const bool urgent = request.urgency == Urgency::Urgent;
    const std::chrono::duration<double> target = request.flow->leaf.firstTokenTarget;
    const auto longest = target * (urgent ? UrgentTargetFactor : NormalTargetFactor);
    return std::min(slack, std::chrono::duration_cast<Duration>(longest));
}

/// Spreads the return of refused callers when three times the work that the pool can do arrives for
/// some seconds. If all of them were given the time at which the queue has drained, all would come
/// back at that moment, and most would be refused again until they give up. Each is given the time
/// at which those refused before could have been served. The time is bounded, because many callers
/// never come back.
Duration spacedRetryAfter(const State &state, const Request &request, Duration earliest)
{
    Pool &pool = *request.pool;
    const std::uint32_t slots = pool.slotsFor(Lane::Normal);
    if (FairQueue::laneOf(request) != Lane::Normal || slots == 0)
        return earliest;
    const Time from = std::max(pool.refusedBacklogEnd, state.now + earliest);
    pool.refusedBacklogEnd =
        std::min(from + request.slotTime / slots, state.now + MaxSpacedRetryAfter);
    return pool.refusedBacklogEnd - state.now;
}

/// Refuses requests that would miss their target when more work arrives than the pool can finish in
/// time, as after a wave of reclaims. Otherwise requests that can't meet their target take the
/// slots of requests that can, until none does, the queue outlasts the overload, and callers learn
/// too late to go elsewhere. The retry time is when the queue has drained to the point at which the
/// target would have been met. Patient work has its deadline as its only target. A request that a
/// peer forwarded because of an old summary goes back to that peer, where it has a place in the
/// queue.
std::optional<Refusal> checkWait(const State &state, const Request &request)
{
    const std::optional<Duration> wait = shortestWait(state, request);
    if (!wait)
        return checkWithoutCapacity(state, request);
    const Duration over = *wait + *wait / WaitMarginDivisor - maxWait(state, request);
    if (over <= Duration::zero())
        return std::nullopt;
    const Duration retryAfter = std::max(over, MinRetryAfter);
    return Refusal { RefusalReason::Late, spacedRetryAfter(state, request, retryAfter) };
}

std::optional<Refusal> checkLimits(State &state, const Request &request)
{
    if (request.forwarded)
        return std::nullopt;
    const std::optional<LimitReached> limit = checkLimit(state, request);
    if (!limit)
        return std::nullopt;
    return Refusal { limit->reason, std::max(limit->wait, MinRetryAfter) };
}

std::optional<Refusal> checkAdmission(State &state, const Request &request)
{
    if (request.crashes >= CrashTable::QuarantineThreshold)
        return Refusal { RefusalReason::Quarantined, Duration::zero() };
    if (request.accepted)
        return std::nullopt;
    if (state.leaving)
        return Refusal { RefusalReason::Leaving, LeavingRetryAfter };
    if (!request.pool->configured || (!request.flow->configured && !request.forwarded))
        return Refusal { RefusalReason::UnknownService, UnknownServiceRetryAfter };
    if (const auto refusal = checkLimits(state, request))
        return refusal;
    if (const auto refusal = checkQueueBounds(request))
        return refusal;
    return checkWait(state, request);
}

void recordOfferedLoad(const State &state, Request &request)
{
    const Lane lane = FairQueue::laneOf(request);
    if (lane == Lane::Urgent)
        request.pool->urgentLoad.add(state.now, request.slotTime);
    else if (lane == Lane::Normal)
        request.pool->normalLoad.add(state.now, request.slotTime);
}

/// A service that no settings name gets no table rows, because callers could otherwise fill the
/// tables with invented names.
bool refuseUnknown(State &state, const RequestArrived &event)
{
    if (event.accepted || state.pools.contains(event.service))
        return false;
    const Duration retryAfter = state.jittered(UnknownServiceRetryAfter);
    state.emit(Refuse { event.request, RefusalReason::UnknownService, retryAfter });
    return true;
}

} // namespace

void onRequestArrived(State &state, const RequestArrived &event)
{
    if (state.requests.contains(event.request) || refuseUnknown(state, event))
        return;
    Request &request = addRequest(state, event);
    const std::optional<Refusal> refusal = checkAdmission(state, request);
    if (refusal) {
        refuse(state, request, refusal->reason, refusal->retryAfter);
        return;
    }
    if (!request.forwarded)
        chargeLimits(state, request);
    recordOfferedLoad(state, request);
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
