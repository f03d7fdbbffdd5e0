#include "snipestall/policy/forwarding.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/prefix_placement.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/stranded.hpp"
#include "snipestall/policy/wait_estimate.hpp"

#include <chrono>
#include <optional>

namespace snipestall::policy {
namespace {

/// A peer without a free slot must start the request sooner by this much. Every sender reads the
/// same summary and picks the same shortest queue, so with a smaller gain all queues would change
/// places every second.
constexpr Duration MinGain = std::chrono::milliseconds(500);
constexpr int MinWaitRatio = 2;

/// A request is offered to at most this many peers and then waits here. Otherwise the offers
/// themselves would become load on peers that are already full.
constexpr std::uint32_t MaxForwards = 3;

/// Limit of requests forwarded in one step, because a summary is too old to empty a whole queue on
/// its basis.
constexpr int ForwardsPerStep = 32;

bool mayBeForwarded(const Request &request)
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
    const bool sooner = !wait || MinWaitRatio * peer->wait + MinGain < *wait;
    // A free slot at a peer is worth a hop whenever there is none here.
    const bool freeSlot = peer->wait == Duration::zero() && pool.freeFor(lane) == 0;
    if (!sooner && !freeSlot)
        return std::nullopt;
    return peer->peer;
}

void sendToPeer(State &state, Request &request, PeerHandle peer)
{
    request.pool->queue.serve(request);
    state.giveUps.remove(request.giveUpAt, request.handle);
    forward(state, request, peer);
}

bool forwardOne(State &state, Pool &pool, Lane lane)
{
    Request *request = pool.queue.head(state.now, lane);
    if (!request || !mayBeForwarded(*request))
        return false;
    const std::optional<PeerHandle> peer = soonerPeer(state, pool, *request);
    if (!peer)
        return false;
    sendToPeer(state, *request, *peer);
    return true;
}

/// The peer to which a request that waits here without a server may go. A request that was declined
/// often goes only to a free slot, because its offers would otherwise become load on peers that are
/// already full. The same applies to a request that a peer forwarded, because its home needs a
/// place to send it.
std::optional<PeerHandle> peerWithRoomFor(const State &state, const Request &request)
{
    const Pool &pool = *request.pool;
    const auto peer = state.peers.best(state.now, pool.service, FairQueue::laneOf(request));
    if (!peer || (!mayBeForwarded(request) && peer->wait > Duration::zero()))
        return std::nullopt;
    return peer->peer;
}

void offerToPeer(State &state, Request &request, PeerHandle peer)
{
    if (request.phase == Phase::Suspect) {
        leavePhase(state, request);
        enqueue(state, request);
    }
    if (request.forwarded)
        refuse(state, request, RefusalReason::NoCapacity, StrandedRetryAfter);
    else
        sendToPeer(state, request, peer);
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

// Guards against this failure: all servers of an instance are reclaimed in one wave, and its peers
// are as full as it was. Each of its requests is declined by as many peers as it may be offered to,
// or was forwarded here and may not be forwarded on. Callers then get nothing until their deadline
// while slots elsewhere become free, and the waiting requests use up the concurrency limit. The
// room that a peer reports is used for these requests once, in order of their latest start, so that
// they don't crowd out new requests there.
void forwardStranded(State &state, Pool &pool)
{
    for (const RequestHandle handle : waitingRequests(state, pool)) {
        Request &request = *state.findRequest(handle);
        if (const auto peer = peerWithRoomFor(state, request))
            offerToPeer(state, request, *peer);
    }
}

bool forwardToCache(State &state, Request &request)
{
    if (!mayBeForwarded(request) || request.prefix.empty() || isCachedHere(request))
        return false;
    const Lane lane = FairQueue::laneOf(request);
    const std::uint32_t key = PrefixHeat::keyOf(request.prefix);
    const auto peer = state.peers.peerWithPrefix(state.now, request.pool->service, lane, key);
    if (!peer)
        return false;
    sendToPeer(state, request, *peer);
    return true;
}

bool forwardToFastestPeer(State &state, Request &request)
{
    if (!mayBeForwarded(request))
        return false;
    const Lane lane = FairQueue::laneOf(request);
    const auto peer = state.peers.best(state.now, request.pool->service, lane);
    if (!peer)
        return false;
    sendToPeer(state, request, peer->peer);
    return true;
}

} // namespace snipestall::policy
