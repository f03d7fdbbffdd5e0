#include "snipestall/policy/lifecycle.hpp"

#include "snipestall/policy/health.hpp"
#include "snipestall/policy/isolation.hpp"
#include "snipestall/policy/request.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/stream_move.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// A prompt token takes about an eighth of the engine time of an output token, because prompts run
/// in large batches.
constexpr double PromptTokenCost = 0.125;

/// Every request has a cost, because calls without tokens would otherwise be free in the fair
/// shares.
constexpr double MinCost = 1.0;

/// Patient work is due a quarter of its own slot time before its latest start.
constexpr int PatientMarginDivisor = 4;

/// Estimates are imprecise, so a queued request is given up only once less than this fraction of
/// its estimated time is left. With a higher fraction, half of the requests given up would have met
/// their deadline; with a lower one, a full pool spends its slots on answers that all come just too
/// late.
constexpr double MinTimeLeftFraction = 0.9;

Time startByOf(const Request &request)
{
    const Time latestStart = request.deadline - request.slotTime;
    if (request.urgency == Urgency::Patient)
        return latestStart - request.slotTime / PatientMarginDivisor;
    return std::min<Time>(latestStart, request.arrived + request.flow->leaf.firstTokenTarget);
}

void setTimes(Request &request)
{
    request.startBy = startByOf(request);
    const auto minTimeLeft = MinTimeLeftFraction * std::chrono::duration<double>(request.slotTime);
    request.giveUpAt = request.deadline - std::chrono::duration_cast<Duration>(minTimeLeft);
    // A request that another instance accepted is given up only when its caller's deadline has
    // passed.
    if (request.accepted)
        request.giveUpAt = request.deadline;
}

/// Generous time until an attempt should first report progress.
Duration firstProgressTimeout(const Request &request)
{
    constexpr int SafetyFactor = 4;
    const bool plain = request.maxTokens == 0;
    const Duration usual =
        plain ? request.slotTime : request.pool->serviceTime.promptTime(request.promptTokens);
    return SafetyFactor * usual;
}

void releaseSlot(State &state, Request &request)
{
    releaseIsolation(state, request);
    cancelMove(request);
    endImport(request);
    Server &server = *request.server;
    server.requests.erase(request.handle.value);
    server.runningNonUrgent -= request.shortUrgent ? 0 : 1;
    server.runningPatient -= request.urgency == Urgency::Patient ? 1 : 0;
    request.server = nullptr;
    server.pool->index.update(server);
    state.markChanged(*server.pool);
    if (!server.gone || server.running() > 0)
        return;
    server.pool->index.erase(server);
    server.pool->probing.erase(server.handle);
    server.pool->servers.erase(server.handle);
    state.servers.erase(server.handle);
}

void occupySlot(State &state, Request &request, Server &server)
{
    request.phase = Phase::Running;
    request.attempt = state.newAttempt();
    request.server = &server;
    request.dispatchedAt = state.now;
    request.lastTokenAt = state.now;
    request.firstTokenSeen = false;
    server.requests.insert(request.handle.value);
    server.peak = std::max(server.peak, server.running());
    server.runningNonUrgent += request.shortUrgent ? 0 : 1;
    server.runningPatient += request.urgency == Urgency::Patient ? 1 : 0;
    expectProgress(state, server, firstProgressTimeout(request));
    server.pool->index.update(server);
}

} // namespace

void estimate(Request &request)
{
    request.expectedOutput = request.maxTokens * request.flow->outputFraction;
    const double output = std::max(0.0, request.expectedOutput - request.produced);
    const double prompt = static_cast<double>(request.promptTokens) + request.produced;
    request.cost = std::max(MinCost, PromptTokenCost * prompt + output);
    request.slotTime = request.pool->serviceTime.estimate(prompt, output);
    setTimes(request);
}

void enqueue(State &state, Request &request)
{
    request.phase = Phase::Queued;
    request.pool->queue.push(request);
    state.giveUps.add(request.giveUpAt, request.handle);
    state.markChanged(*request.pool);
}

void delay(State &state, Request &request, Duration wait)
{
    request.phase = Phase::Delayed;
    request.notBefore = state.now + wait;
    state.backoffs.add(request.notBefore, request.handle);
    state.giveUps.add(request.giveUpAt, request.handle);
}

void dispatch(State &state, Request &request, Server &server)
{
    occupySlot(state, request, server);
    state.emit(Dispatch { request.handle, request.attempt, server.handle });
}

void moveTo(State &state, Request &request, Server &target, MoveMethod method)
{
    const AttemptHandle from = request.attempt;
    leavePhase(state, request);
    estimate(request);
    occupySlot(state, request, target);
    request.importing = true;
    ++target.imports;
    state.emit(MoveStream { request.handle, from, request.attempt, target.handle, method });
}

void forward(State &state, Request &request, PeerHandle peer)
{
    request.phase = Phase::Forwarded;
    request.attempt = state.newAttempt();
    request.peer = peer;
    request.dispatchedAt = state.now;
    request.lastTokenAt = state.now;
    ++request.forwards;
    state.peers.recordForward(peer, request.pool->service, request.slotTime);
    state.emit(ForwardTo { request.handle, request.attempt, peer });
}

void leavePhase(State &state, Request &request)
{
    switch (request.phase) {
    case Phase::Queued:
        request.pool->queue.erase(request);
        state.giveUps.remove(request.giveUpAt, request.handle);
        break;
    case Phase::Delayed:
        state.backoffs.remove(request.notBefore, request.handle);
        state.giveUps.remove(request.giveUpAt, request.handle);
        break;
    case Phase::Running:
        releaseSlot(state, request);
        break;
    case Phase::Suspect:
        releaseIsolation(state, request);
        state.giveUps.remove(request.giveUpAt, request.handle);
        break;
    case Phase::New:
    case Phase::Forwarded:
        break;
    }
    request.attempt = {};
}

void finish(State &state, Request &request)
{
    leavePhase(state, request);
    --request.flow->activeRequests;
    state.requests.erase(request.handle);
}

void refuse(State &state, Request &request, RefusalReason reason, Duration retryAfter)
{
    const Duration spread = state.jittered(retryAfter);
    state.emit(Refuse { request.handle, reason, spread });
    finish(state, request);
}

} // namespace snipestall::policy
