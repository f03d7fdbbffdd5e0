#include "snipestall/policy/shifting.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace snipestall::policy {
namespace {

using Seconds = std::chrono::duration<double>;

/// Estimates of what is left to generate are off by some; a stream that is cut in its last token
/// is recomputed whole, so only those that need clearly less than the notice stay.
constexpr double TrustedNotice = 0.7;

/// Held back from the notice for the order itself to reach the engine.
constexpr Duration OrderTime = std::chrono::milliseconds(100);

/// KV cache that one server exports a second, in tokens: 128 KB a token over half of a 25 Gbit/s
/// link. Overrated, and exports are cut off half-way; underrated, and more is recomputed.
constexpr double ExportTokensPerSecond = 12000;

/// A shorter context is recomputed faster than an export is set up.
constexpr std::uint32_t LeastExport = 256;

/// Load: half of a pool is reclaimed and its streams arrive at the survivors at once. Each import
/// stalls the streams beside it, so a server takes two at a time and the rest follow in waves.
constexpr std::uint32_t MaxImports = 2;

/// Targets looked at for one stream.
constexpr std::size_t TargetsLookedAt = 8;

std::uint32_t contextOf(const Request &request)
{
    return request.promptTokens + request.produced;
}

Duration exportTime(const Request &request)
{
    return std::chrono::duration_cast<Duration>(
        Seconds(contextOf(request) / ExportTokensPerSecond));
}

Duration timeLeft(const State &state, const Request &request)
{
    if (request.maxTokens == 0)
        return std::max(Duration::zero(), request.dispatchedAt + request.service - state.now);
    // Answers longer than usual are the ones still running; plan for the whole length.
    const std::uint32_t most = std::max(request.maxTokens, request.produced);
    const Duration output = request.pool->serviceTime.perOutputToken() * (most - request.produced);
    const Duration prompt = request.pool->serviceTime.prompt(request.promptTokens);
    return request.firstTokenSeen ? output : prompt + output;
}

bool canFinish(const State &state, const Request &request, Duration notice)
{
    return Seconds(timeLeft(state, request)) <= TrustedNotice * Seconds(notice);
}

PlannedMove moveOf(Request &request)
{
    return { request.moveCost, request.handle.value, &request };
}

void plan(Request &request)
{
    request.moving = true;
    request.moveCost = contextOf(request);
    request.pool->moves.insert(moveOf(request));
}

/// Exports share their server's link, one after the other; the dearest come first, and what no
/// longer fits before the notice runs out is resumed.
MoveMethod methodFor(const State &state, const Request &request)
{
    Server &source = *request.server;
    const bool worthIt = request.firstTokenSeen && contextOf(request) >= LeastExport;
    const Time start = std::max(source.exportsEnd, state.now + OrderTime);
    const Time end = start + exportTime(request);
    if (!worthIt || end > source.noticeEnds)
        return MoveMethod::Resume;
    source.exportsEnd = end;
    return MoveMethod::ExportKv;
}

Server *targetFor(const State &state, const Request &request)
{
    const double lossSeconds = Seconds(request.service).count() / 2;
    for (Server *server : request.pool->index.best(state.now, lossSeconds, TargetsLookedAt)) {
        if (server->imports < MaxImports && server->standing == Standing::Healthy)
            return server;
    }
    return nullptr;
}

/// No slot is free here; late in the notice a peer's free slot is better than none.
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
    withdraw(state, request);
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

// A non-idempotent call is never moved: its second start would be its second run. It ends there,
// or its fate is unknown.
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
            state.touch(*server->pool);
    }
    for (const std::string &service : state.touched) {
        Pool &pool = state.pool(service);
        while (!pool.moves.empty()) {
            if (!moveOne(state, *pool.moves.begin()->request))
                break;
        }
    }
}

void forgetMove(Request &request)
{
    if (!request.moving)
        return;
    request.pool->moves.erase(moveOf(request));
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
