#include "snipestall/policy/stream_move.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace snipestall::policy {
namespace {

using Seconds = std::chrono::duration<double>;

/// Estimates of the remaining output are imprecise, and a stream that is cut at its last token is
/// recomputed as a whole. Only streams that need clearly less time than the notice stay.
constexpr double UsableNoticeFraction = 0.7;

/// Part of the notice that is held back for the command to reach the engine.
constexpr Duration CommandLatency = std::chrono::milliseconds(100);

/// KV cache that one server can export per second, in tokens: 128 KB per token over half of a 25
/// Gbit/s link. If the rate is overestimated, exports are cut off half-way; if it is
/// underestimated, more is recomputed.
constexpr double ExportTokensPerSecond = 12000;

/// Recomputing a shorter context is faster than setting up an export.
constexpr std::uint32_t MinExportTokens = 256;

/// When half of a pool is reclaimed, its streams arrive at the surviving servers at once. Each
/// import stalls the streams beside it, so a server imports two at a time and the rest follow in
/// waves.
constexpr std::uint32_t MaxImports = 2;

/// Number of targets examined for one stream.
constexpr std::size_t MaxTargetsTried = 8;

std::uint32_t contextOf(const Request &request)
{
    return request.promptTokens + request.produced;
}

Duration exportTime(const Request &request)
{
    return std::chrono::duration_cast<Duration>(
        Seconds(contextOf(request) / ExportTokensPerSecond));
}

Duration remainingTime(const State &state, const Request &request)
{
    if (request.maxTokens == 0)
        return std::max(Duration::zero(), request.dispatchedAt + request.slotTime - state.now);
    // Streams still running tend to be longer than usual, so the whole length is assumed.
    const std::uint32_t maxOutput = std::max(request.maxTokens, request.produced);
    const Duration output =
        request.pool->serviceTime.outputTokenTime() * (maxOutput - request.produced);
    const Duration prompt = request.pool->serviceTime.promptTime(request.promptTokens);
    return request.firstTokenSeen ? output : prompt + output;
}

bool canFinish(const State &state, const Request &request, Duration notice)
{
    return Seconds(remainingTime(state, request)) <= UsableNoticeFraction * Seconds(notice);
}

PlannedMove plannedMoveOf(Request &request)
{
    return { request.moveCost, request.handle.value, &request };
}

void plan(Request &request)
{
    request.moving = true;
    request.moveCost = contextOf(request);
    request.pool->moves.insert(plannedMoveOf(request));
}

/// Exports share their server's link, one after the other. The streams that cost most to recompute
/// come first, and a stream whose export no longer fits into the notice is resumed.
MoveMethod methodFor(const State &state, const Request &request)
{
    Server &source = *request.server;
    const bool worthExporting = request.firstTokenSeen && contextOf(request) >= MinExportTokens;
    const Time start = std::max(source.exportsEnd, state.now + CommandLatency);
    const Time end = start + exportTime(request);
    if (!worthExporting || end > source.noticeEnds)
        return MoveMethod::Resume;
    source.exportsEnd = end;
    return MoveMethod::ExportKv;
}

Server *targetFor(const State &state, const Request &request)
{
    const double lossSeconds = Seconds(request.slotTime).count() / 2;
    for (Server *server : request.pool->index.best(state.now, lossSeconds, MaxTargetsTried)) {
        if (server->imports < MaxImports && server->healthState == HealthState::Healthy)
            return server;
    }
    return nullptr;
}

/// When no slot is free here, a peer's free slot is used once half of the notice has passed.
std::optional<PeerHandle> peerFor(const State &state, const Request &request)
{
    const Server &source = *request.server;
    const bool late = state.now >= source.noticeHalf;
    if (!late || request.forwarded || request.pool->index.totals().free > 0)
        return std::nullopt;
    const auto choice = state.peers.best(state.now, request.pool->service, Lane::Normal);
    if (!choice || choice->wait > Duration::zero())
        return std::nullopt;
    return choice->peer;
}

void moveToPeer(State &state, Request &request, PeerHandle peer)
{
    state.emit(CancelAttempt { request.handle, request.attempt });
    leavePhase(state, request);
    estimate(request);
    forward(state, request, peer);
}

bool moveOne(State &state, Request &request)
{
    if (Server *target = targetFor(state, request)) {
        const MoveMethod method = methodFor(state, request);
        moveTo(state, request, *target, method);
        return true;
    }
    const std::optional<PeerHandle> peer = peerFor(state, request);
    if (!peer)
        return false;
    moveToPeer(state, request, *peer);
    return true;
}

} // namespace

// A non-idempotent call is never moved, because a second start would be a second run. It ends on
// its server, or its outcome is unknown.
void planMoves(State &state, Server &server)
{
    const Duration notice = server.noticeEnds - state.now;
    for (const std::uint64_t handle : server.requests) {
        Request &request = *state.findRequest({ handle });
        if (request.idempotent && !request.moving && !canFinish(state, request, notice))
            plan(request);
    }
}

void moveStreams(State &state)
{
    while (const auto handle = state.notices.popDue(state.now)) {
        if (const Server *server = state.findServer(*handle))
            state.markChanged(*server->pool);
    }
    for (const std::string &service : state.changedPools) {
        Pool &pool = state.pool(service);
        while (!pool.moves.empty()) {
            if (!moveOne(state, *pool.moves.begin()->request))
                break;
        }
    }
}

void cancelMove(Request &request)
{
    if (!request.moving)
        return;
    request.pool->moves.erase(plannedMoveOf(request));
    request.moving = false;
}

void endImport(Request &request)
{
    if (!request.importing)
        return;
    request.importing = false;
    --request.server->imports;
}

} // namespace snipestall::policy
