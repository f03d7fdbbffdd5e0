#include "snipestall/policy/lifecycle.hpp"

#include "snipestall/policy/health.hpp"
#include "snipestall/policy/isolation.hpp"
#include "snipestall/policy/request.hpp"
#include "snipestall/policy/shifting.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// A prompt token takes about an eighth of the engine's time that an output token takes, since
/// prompts run in large batches.
constexpr double PromptTokenCost = 0.125;

/// Every request costs something, or calls without tokens would be free in the fair shares.
constexpr double LeastCost = 1.0;

/// Patient work becomes pressing a quarter of its own time before its latest start.
constexpr int PatientMargin = 4;

/// Estimates are off by some; a queued request is given up on once less than this part of its
/// estimated time is left. Higher, and half of what is given up on would have made it; lower, and
/// a full pool spends its slots on answers that all come just too late.
constexpr double LeastPartLeft = 0.9;

Time startByOf(const Request &request)
{
    const Time latestStart = request.deadline - request.service;
    if (request.urgency == Urgency::Patient)
        return latestStart - request.service / PatientMargin;
    return std::min<Time>(latestStart, request.arrived + request.flow->leaf.firstTokenTarget);
}

void setTimes(Request &request)
{
    request.startBy = startByOf(request);
    const auto leastLeft = LeastPartLeft * std::chrono::duration<double>(request.service);
    request.giveUpAt = request.deadline - std::chrono::duration_cast<Duration>(leastLeft);
    // What another instance accepted is given up on only when its caller's deadline has passed.
    if (request.accepted)
        request.giveUpAt = request.deadline;
}

/// Time until the first sign of life of an attempt, generously.
Duration expectedSilence(const Request &request)
{
    constexpr int Generously = 4;
    const bool plain = request.maxTokens == 0;
    const Duration usual =
        plain ? request.service : request.pool->serviceTime.prompt(request.promptTokens);
    return Generously * usual;
}

void releaseSlot(State &state, Request &request)
{
    releaseIsolation(state, request);
    forgetMove(request);
    endImport(request);
    Server &server = *request.server;
    server.requests.erase(request.handle.value);
    server.runningOther -= request.shortUrgent ? 0 : 1;
    server.runningPatient -= request.urgency == Urgency::Patient ? 1 : 0;
    request.server = nullptr;
    server.pool->index.update(server);
    state.touch(*server.pool);
    if (!server.gone || server.running() > 0)
        return;
    server.pool->index.erase(server);
    server.pool->probing.erase(server.handle);
    server.pool->servers.erase(server.handle);
    state.servers.erase(server.handle);
}

void occupy(State &state, Request &request, Server &server)
{
    request.phase = Phase::Running;
    request.attempt = state.newAttempt();
    request.server = &server;
    request.dispatchedAt = state.now;
    request.lastTokenAt = state.now;
    request.firstTokenSeen = false;
    server.requests.insert(request.handle.value);
    server.peak = std::max(server.peak, server.running());
    server.runningOther += request.shortUrgent ? 0 : 1;
    server.runningPatient += request.urgency == Urgency::Patient ? 1 : 0;
    expectProgress(state, server, expectedSilence(request));
    server.pool->index.update(server);
}

} // namespace

void estimate(Request &request)
{
    request.expectedOutput = request.maxTokens * request.flow->outputFraction;
    const double output = std::max(0.0, request.expectedOutput - request.produced);
    const double prompt = static_cast<double>(request.promptTokens) + request.produced;
    request.cost = std::max(LeastCost, PromptTokenCost * prompt + output);
    request.service = request.pool->serviceTime.estimate(prompt, output);
    setTimes(request);
}

void enqueue(State &state, Request &request)
{
    request.phase = Phase::Queued;
    request.pool->queue.push(request);
    state.giveUps.add(request.giveUpAt, request.handle);
    state.touch(*request.pool);
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
    occupy(state, request, server);
    state.emit(Dispatch { request.handle, request.attempt, server.handle });
}

void moveTo(State &state, Request &request, Server &target, MoveMethod method)
{
    const AttemptHandle from = request.attempt;
    withdraw(state, request);
    estimate(request);
    occupy(state, request, target);
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
    state.peers.countForward(peer, request.pool->service, request.service);
    state.emit(ForwardTo { request.handle, request.attempt, peer });
}

void withdraw(State &state, Request &request)
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
    withdraw(state, request);
    --request.flow->live;
    state.requests.erase(request.handle);
}

void refuse(State &state, Request &request, RefusalReason reason, Duration retryAfter)
{
    const Duration spread = state.jittered(retryAfter);
    state.emit(Refuse { request.handle, reason, spread });
    finish(state, request);
}

} // namespace snipestall::policy
