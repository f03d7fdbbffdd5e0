#include "snipestall/policy/forwarding.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/wait_estimate.hpp"

#include <chrono>
#include <optional>

namespace snipestall::policy {
namespace {

/// A peer must be this much sooner. Less is within the error of both estimates, and requests
/// would change places for nothing.
constexpr Duration LeastGain = std::chrono::milliseconds(50);

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
    const auto peer = state.peers.best(state.now, pool.service);
    if (!peer)
        return std::nullopt;
    const std::optional<Duration> wait = expectedWait(pool, request);
    const bool sooner = !wait || peer->wait + LeastGain < *wait;
    // A free slot there is worth a hop whenever there is none here.
    const bool freeSlot = peer->wait == Duration::zero() && pool.index.totals().free == 0;
    if (!sooner && !freeSlot)
        return std::nullopt;
    return peer->peer;
}

bool forwardOne(State &state, Pool &pool)
{
    Request *request = pool.queue.next(state.now, false);
    if (!request || !mayForward(*request))
        return false;
    const std::optional<PeerHandle> peer = soonerPeer(state, pool, *request);
    if (!peer)
        return false;
    pool.queue.serve(*request);
    state.giveUps.remove(request->giveUpAt, request->handle);
    forward(state, *request, *peer);
    return true;
}

} // namespace

void forwardQueued(State &state, Pool &pool)
{
    for (int i = 0; i < ForwardsPerStep; ++i) {
        if (!forwardOne(state, pool))
            return;
    }
}

} // namespace snipestall::policy
