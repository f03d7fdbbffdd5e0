// The part of RequestRelay that moves a running stream away from a server that is being reclaimed.

#include "snipestall/gateway/request_relay.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

/// Shorter than the time between the begin of a move and the end of its server.
constexpr milliseconds MoveTimeout { 600 };
constexpr milliseconds MoveTick { 2 };

/// Takes its arguments by value or shared pointer, because the request may end while the call is in
/// progress.
Task<void> callMove(GatewayState &state, std::shared_ptr<StreamMove> move,
                    serving::ServerStatePtr source, std::string attemptId, std::uint64_t lastEvent)
{
    platform::StreamMoveResult result = co_await state.kvCaches.move(
        source->info.address, attemptId, move->target->info.address, lastEvent, MoveTimeout);
    logEvent(events::StreamMoved,
             { { "attempt", attemptId },
               { "from", source->info.id },
               { "to", move->target->info.id },
               { "after_event", std::to_string(lastEvent) },
               { "result", platform::toText(result.kind) },
               { "error", result.error } });
    move->result = std::move(result);
}

} // namespace

void RequestRelay::watchForReclaim(const serving::ServerStatePtr &server)
{
    const bool movable =
        m_placementRequest.service->engine && m_placementRequest.service->engine->movesRuns;
    // A run that may be repeated is resumed when its server ends.
    if (!movable || m_route->mayRepeat() || m_continuesAtSource)
        return;
    m_streamHandle = m_state.streams.add({ server, [this, server] { beginMove(server); } });
}

void RequestRelay::stopReclaimWatch()
{
    if (m_streamHandle)
        m_state.streams.remove(*std::exchange(m_streamHandle, std::nullopt));
}

void RequestRelay::beginMove(const serving::ServerStatePtr &source)
{
    const SteadyTime now = m_state.clock.steadyNow();
    // A run that has not begun has no KV cache to move.
    if (!m_answer.lastEvent() || !m_answer.origin() || m_callerGone)
        return;
    serving::PlacementRequest request = m_placementRequest;
    // The run may continue in any data centre, because only free capacity matters.
    request.mayRepeat = true;
    request.origin = m_answer.origin();
    const auto placed = m_state.placement.choose(request, now);
    if (!placed || !takeRepeat())
        return;
    useRepeat(*m_call);
    m_state.limits.requestSent(*placed->server, now);
    serving::ServerTable::requestSent(*placed->server, now);
    m_move = std::make_shared<StreamMove>();
    m_move->target = placed->server;
    wire::spawn(m_state.io,
                callMove(m_state, m_move, source, m_header.attemptId, *m_answer.lastEvent()),
                "move");
}

Task<void> RequestRelay::awaitMove()
{
    while (m_move != nullptr && !m_move->result)
        co_await wire::sleepFor(MoveTick);
}

RequestRelay::AttemptEnd RequestRelay::endOfStoppedRun(const serving::ServerStatePtr &source)
{
    using Kind = platform::StreamMoveResult::Kind;
    if (m_move->result->kind == Kind::Moved)
        return AttemptEnd::Moved;
    const SteadyTime now = m_state.clock.steadyNow();
    if (m_move->result->kind != Kind::KeptAtSource || !m_state.servers.mayReturnTo(*source, now))
        return AttemptEnd::Failed;
    m_continuesAtSource = true;
    m_state.limits.requestSent(*source, now);
    serving::ServerTable::requestSent(*source, now);
    m_move->target = source;
    return AttemptEnd::Moved;
}

Task<void> RequestRelay::awaitTargetOfMove()
{
    const serving::ServerStatePtr target = m_move->target;
    while (target->rest && !target->rest->admitsMovedRun(m_state.clock.steadyNow()) && !m_callerGone
           && !m_cancelled && !deadlinePassed())
        co_await wire::sleepFor(MoveTick);
}

serving::ServerChoice RequestRelay::finishMove()
{
    const auto move = std::exchange(m_move, nullptr);
    m_kvCacheSource = move->result->kvCacheSource;
    serving::ServerChoice placed;
    placed.server = move->target;
    return placed;
}

} // namespace snipestall::gateway
