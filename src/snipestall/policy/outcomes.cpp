#include "snipestall/policy/outcomes.hpp"

#include "snipestall/policy/concurrency.hpp"
#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/retry.hpp"
#include "snipestall/policy/state.hpp"

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
    const Duration taken = state.now - request.dispatchedAt;
    request.pool->serviceTime.learnFirstToken(request.promptTokens, taken);
}

void learnOutput(State &state, Request &request, std::uint32_t count)
{
    const Duration taken = state.now - request.lastTokenAt;
    request.pool->serviceTime.learnOutput(count, taken);
    const Duration target = request.flow->leaf.interTokenTarget;
    if (count == 0 || target <= Duration::zero())
        return;
    const double tokens = count;
    observePace(state, *request.server, Seconds(taken) / Seconds(target) / tokens);
}

/// The estimate was charged when the request was served; what it really took is known now.
void settle(Request &request)
{
    if (request.maxTokens == 0)
        return;
    Flow &flow = *request.flow;
    const double actual = request.produced;
    request.pool->queue.settle(flow, actual - request.expectedOutput);
    if (!request.forwarded)
        flow.tokenBucket.giveBack(request.expectedOutput - actual);
    const double fraction = std::min(1.0, actual / request.maxTokens);
    flow.outputFraction += LengthGain * (fraction - flow.outputFraction);
}

void learnFromAnswer(State &state, Request &request)
{
    if (request.phase != Phase::Running)
        return;
    if (request.promptTokens + request.maxTokens == 0)
        request.pool->serviceTime.learnPlainCall(state.now - request.dispatchedAt);
    settle(request);
    // It ran to its end with nothing beside it: the deaths before had another cause.
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
        finish(state, *request);
        return;
    case AttemptResult::NotSent:
    case AttemptResult::Declined:
    case AttemptResult::Cut:
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
