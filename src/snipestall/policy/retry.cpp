#include "snipestall/policy/retry.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

constexpr Duration FirstBackoff = std::chrono::milliseconds(50);
constexpr Duration LongestBackoff = std::chrono::seconds(2);
constexpr std::uint32_t DoublingsAtMost = 6;

/// A request that failed this often fails for a reason of its own.
constexpr std::uint32_t MaxRetries = 6;

/// Failure: the connection broke after bytes left. It shows as a cut, and nobody can tell whether
/// the call ran. Sent again, a top-up is booked twice; so it ends here, and the edge, which knows
/// that bytes left, answers `unknown`.
bool mayHaveRun(const Request &request, AttemptResult result)
{
    const bool cut = result == AttemptResult::Cut || result == AttemptResult::ServerDied;
    return cut && !request.idempotent;
}

Duration backoff(State &state, const Request &request)
{
    const std::uint32_t doublings = std::min(request.retries, DoublingsAtMost);
    const Duration full = std::min(LongestBackoff, FirstBackoff * (1U << doublings));
    return state.jittered(full / 2);
}

/// The owner is full: its summary was old. Another peer, or this queue, can take it at once.
void takeBack(State &state, Request &request)
{
    state.peers.countDecline(request.peer, request.pool->service);
    withdraw(state, request);
    estimate(state, request);
    enqueue(state, request);
}

} // namespace

void retry(State &state, Request &request, const AttemptEnded &event)
{
    if (mayHaveRun(request, event.result)) {
        refuse(state, request, RefusalReason::RetriesExhausted, Duration::zero());
        return;
    }
    const bool declined =
        event.result == AttemptResult::Declined || event.result == AttemptResult::NotSent;
    if (declined && request.phase == Phase::Forwarded) {
        takeBack(state, request);
        return;
    }
    if (request.retries++ >= MaxRetries) {
        refuse(state, request, RefusalReason::RetriesExhausted, Duration::zero());
        return;
    }
    withdraw(state, request);
    estimate(state, request);
    delay(state, request, std::max(event.retryAfter, backoff(state, request)));
}

} // namespace snipestall::policy
