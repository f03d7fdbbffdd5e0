#include "snipestall/policy/outcomes.hpp"

#include "snipestall/policy/concurrency.hpp"
#include "snipestall/policy/health.hpp"
#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/retry.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/stream_move.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of one answer in the learned length of answers.
constexpr double LengthGain = 0.05;

void learnFirstToken(State &state, Request &request)
{
    request.firstTokenSeen = true;
    endImport(request);
    state.markChanged(*request.pool);
    const Duration taken = state.now - request.dispatchedAt;
    request.pool->serviceTime.learnFirstToken(request.promptTokens, taken);
}

void learnOutput(State &state, Request &request, std::uint32_t count)
{
    const Duration taken = state.now - request.lastTokenAt;
    request.pool->serviceTime.learnOutput(count, taken);
    if (count == 0)
        return;
    const Seconds perToken = Seconds(taken) / count;
    observeSpeed(*request.server, taken / count);
    const Seconds target = request.flow->leaf.interTokenTarget;
    if (target > Seconds::zero())
        observePace(state, *request.server, perToken / target);
}

void learnPlainCall(State &state, Request &request)
{
    ServiceTime &serviceTime = request.pool->serviceTime;
    const Duration taken = state.now - request.dispatchedAt;
    observeSpeed(*request.server, taken);
    serviceTime.learnPlainCall(taken);
}

/// Corrects the charges of the request's flow: the estimate was charged when the request was
/// served, and the actual cost is known now.
void settleCharges(Request &request)
{
    if (request.maxTokens == 0)
        return;
    Flow &flow = *request.flow;
    const double actual = request.produced;
    request.pool->queue.settle(flow, actual - request.expectedOutput);
    if (!request.forwarded)
        flow.tokenBucket.refund(request.expectedOutput - actual);
    const double fraction = std::min(1.0, actual / request.maxTokens);
    flow.outputFraction += LengthGain * (fraction - flow.outputFraction);
}

void learnFromAnswer(State &state, Request &request)
{
    if (request.phase != Phase::Running)
        return;
    if (request.promptTokens + request.maxTokens == 0)
        learnPlainCall(state, request);
    observeSuccess(request);
    settleCharges(request);
    // The request ran to its end alone on a server, so the deaths before had another cause.
    if (request.crashes > 0)
        state.crashes.clear(request.fingerprint);
}

} // namespace

void onTokensProduced(State &state, const TokensProduced &event)
{
    Request *request = state.findAttempt(event.request, event.attempt);
    if (!request)
        return;
    request->produced += event.count;
    if (request->phase != Phase::Running)
        return;
    if (request->firstTokenSeen)
        learnOutput(state, *request, event.count);
    else
        learnFirstToken(state, *request);
    request->lastTokenAt = state.now;
    expectProgress(state, *request->server, Duration::zero());
}

void onAttemptEnded(State &state, const AttemptEnded &event)
{
    Request *request = state.findAttempt(event.request, event.attempt);
    if (!request)
        return;
    switch (event.result) {
    case AttemptResult::Completed:
        learnFromAnswer(state, *request);
        finish(state, *request);
        return;
    case AttemptResult::Rejected:
        if (request->phase == Phase::Running)
            observeFailure(state, *request);
        finish(state, *request);
        return;
    case AttemptResult::NotSent:
    case AttemptResult::Declined:
    case AttemptResult::ConnectionLost:
    case AttemptResult::ServerDied:
        retry(state, *request, event);
        return;
    }
}

void onRequestCancelled(State &state, const RequestCancelled &event)
{
    Request *request = state.findRequest(event.request);
    if (!request)
        return;
    const bool running = request->phase == Phase::Running || request->phase == Phase::Forwarded;
    if (running)
        state.emit(CancelAttempt { request->handle, request->attempt });
    finish(state, *request);
}

} // namespace snipestall::policy
