#include "snipestall/policy/limits.hpp"

#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipestall::policy {
namespace {

/// Callers send in bursts, as a newsroom does before its presses close. Two seconds' worth of the
/// rate may pass at once; a larger burst would fill the queue for all customers.
constexpr double BurstSeconds = 2.0;

/// A limit above zero lets at least one request through.
constexpr double MinBurst = 1.0;

/// The end of a running request is unknown; a typical request ends within this time.
constexpr Duration ConcurrencyRetry = std::chrono::seconds(1);

double tokensOf(const Request &request)
{
    return request.promptTokens + request.expectedOutput;
}

std::uint32_t concurrencyShare(const State &state, const Flow &flow)
{
    const std::uint32_t instances = 1 + state.peers.peersIn(state.dataCentre);
    return (flow.leaf.concurrency + instances - 1) / instances;
}

} // namespace

std::optional<LimitReached> checkLimit(const State &state, const Request &request)
{
    const Flow &flow = *request.flow;
    const Duration rateWait = flow.requestBucket.waitFor(state.now, 1.0);
    if (rateWait > Duration::zero())
        return LimitReached { RefusalReason::RateLimit, rateWait };
    const Duration tokenWait = flow.tokenBucket.waitFor(state.now, tokensOf(request));
    if (tokenWait > Duration::zero())
        return LimitReached { RefusalReason::TokenLimit, tokenWait };
    // The request itself is already counted as active.
    if (flow.activeRequests > concurrencyShare(state, flow))
        return LimitReached { RefusalReason::ConcurrencyLimit, ConcurrencyRetry };
    return std::nullopt;
}

void chargeLimits(State &state, Request &request)
{
    Flow &flow = *request.flow;
    flow.requestBucket.take(state.now, 1.0);
    flow.tokenBucket.take(state.now, tokensOf(request));
}

void configureLimits(const State &state, Flow &flow)
{
    const double instances = 1.0 + state.peers.peersIn(state.dataCentre);
    const double requests = flow.leaf.requestsPerSecond / instances;
    const double tokens = flow.leaf.tokensPerSecond / instances;
    flow.requestBucket.configure(requests, std::max(MinBurst, requests * BurstSeconds));
    flow.tokenBucket.configure(tokens, std::max(MinBurst, tokens * BurstSeconds));
}

} // namespace snipestall::policy
