#include "snipestall/policy/forwarding.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/prefix_placing.hpp"
#include "snipestall/policy/state.hpp"
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
