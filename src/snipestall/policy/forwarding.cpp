#include "snipestall/policy/forwarding.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/prefix_placing.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/stranded.hpp"
#include "snipestall/policy/wait_estimate.hpp"

#include <chrono>
#include <optional>

namespace snipestall::policy {
namespace {

/// Without a free slot there, a peer must be this much sooner. Every sender reads the same summary
/// and picks the same shortest queue; with a smaller gain all queues change places each second.
constexpr Duration LeastGain = std::chrono::milliseconds(500);
constexpr int LeastRatio = 2;

/// A request is offered to this many peers; then it waits here, or the offers themselves become
/// load on peers that are full already.
constexpr std::uint32_t MaxForwards = 3;

/// Requests moved in one step; a summary is too old a picture to empty a queue on it.
constexpr int ForwardsPerStep = 32;

bool mayForward(const Request &request)
{
    return !request.forwarded && request.forwards < MaxForwards;
}

std::optional<PeerHandle> soonerPeer(const State &state, const Pool &pool, const Request &request)
{
    const Lane lane = FairQueue::laneOf(request);
    const auto peer = state.peers.best(state.now, pool.service, lane);
    if (!peer)
        return std::nullopt;
    const std::optional<Duration> wait = expectedWait(pool, request);
    const bool sooner = !wait || LeastRatio * peer->wait + LeastGain < *wait;
    // A free slot there is worth a hop whenever there is none here.
    const bool freeSlot = peer->wait == Duration::zero() && pool.freeFor(lane) == 0;
    if (!sooner && !freeSlot)
        return std::nullopt;
    return peer->peer;
}

void send(State &state, Request &request, PeerHandle peer)
{
    request.pool->queue.serve(request);
    state.giveUps.remove(request.giveUpAt, request.handle);
    forward(state, request, peer);
}

bool forwardOne(State &state, Pool &pool, Lane lane)
{
    Request *request = pool.queue.head(state.now, lane);
    if (!request || !mayForward(*request))
        return false;
    const std::optional<PeerHandle> peer = soonerPeer(state, pool, *request);
    if (!peer)
        return false;
    send(state, *request, *peer);
    return true;
}

/// Where a request that waits here without a server may go. One that was declined often goes only
/// where a slot is free, or its offers become load on peers that are full already; so does one that
/// a peer forwarded, since its home needs somewhere to send it.
std::optional<PeerHandle> roomFor(const State &state, const Request &request)
{
    const Pool &pool = *request.pool;
    const auto peer = state.peers.best(state.now, pool.service, FairQueue::laneOf(request));
    if (!peer || (!mayForward(request) && peer->wait > Duration::zero()))
        return std::nullopt;
    return peer->peer;
}

void offer(State &state, Request &request, PeerHandle peer)
{
    if (request.phase == Phase::Suspect) {
        withdraw(state, request);
        enqueue(state, request);
    }
    if (request.forwarded)
        refuse(state, request, RefusalReason::NoCapacity, RetryElsewhere);
    else
        send(state, request, peer);
}

void forwardLane(State &state, Pool &pool, Lane lane)
{
    for (int i = 0; i < ForwardsPerStep; ++i) {
        if (!forwardOne(state, pool, lane))
            return;
    }
}

} // namespace

void forwardQueued(State &state, Pool &pool)
{
    forwardLane(state, pool, Lane::Urgent);
    forwardLane(state, pool, Lane::Normal);
    forwardLane(state, pool, Lane::Patient);
}

// Load: all servers of an instance are reclaimed in one wave, and the peers are as full as it was.
// Failure: each of its requests is declined by as many peers as it may be offered to, or was
// forwarded here and may not be forwarded on. It shows as callers without a word until their
// deadline while slots elsewhere come free, and as a concurrency limit used up by what waits. The
// room that a peer tells of is spent on them in order of their latest start, and once, so that they
// don't crowd out what arrives there.
void offerStranded(State &state, Pool &pool)
{
    for (const RequestHandle handle : waitingFor(state, pool)) {
        Request &request = *state.findRequest(handle);
        if (const auto peer = roomFor(state, request))
            offer(state, request, *peer);
    }
}

bool forwardToCache(State &state, Request &request)
{
    if (!mayForward(request) || request.prefix.empty() || isCachedHere(request))
        return false;
    const Lane lane = FairQueue::laneOf(request);
    const std::uint32_t key = PrefixHeat::keyOf(request.prefix);
    const auto peer = state.peers.holder(state.now, request.pool->service, lane, key);
    if (!peer)
        return false;
    send(state, request, *peer);
    return true;
}

bool forwardAway(State &state, Request &request)
{
    if (!mayForward(request))
        return false;
    const Lane lane = FairQueue::laneOf(request);
    const auto peer = state.peers.best(state.now, request.pool->service, lane);
    if (!peer)
        return false;
    send(state, request, peer->peer);
    return true;
}

} // namespace snipestall::policy
