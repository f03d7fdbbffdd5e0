#include "snipestall/policy/limits.hpp"

#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipestall::policy {
namespace {

/// Load: callers that send in bursts (a newsroom before its presses close). Two seconds of the
/// rate pass at once; more, and a burst fills the queue for everybody.
constexpr double BurstSeconds = 2.0;

/// A limit in force lets at least one request through.
constexpr double LeastBurst = 1.0;

/// When a request in progress will end is not known; a typical one does within this time.
constexpr Duration ConcurrencyRetry = std::chrono::seconds(1);

double tokensOf(const Request &request)
{
    return request.promptTokens + request.expectedOutput;
}

std::uint32_t concurrencyOf(const State &state, const Flow &flow)
{
    const std::uint32_t instances = 1 + state.peers.countIn(state.dataCentre);
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
    // The request itself counts as live already.
    if (flow.live > concurrencyOf(state, flow))
        return LimitReached { RefusalReason::ConcurrencyLimit, ConcurrencyRetry };
    return std::nullopt;
}

void takeLimits(State &state, Request &request)
{
    Flow &flow = *request.flow;
    flow.requestBucket.take(state.now, 1.0);
    flow.tokenBucket.take(state.now, tokensOf(request));
}

void configureLimits(const State &state, Flow &flow)
{
    const double instances = 1.0 + state.peers.countIn(state.dataCentre);
    const double requests = flow.leaf.requestsPerSecond / instances;
    const double tokens = flow.leaf.tokensPerSecond / instances;
    flow.requestBucket.configure(requests, std::max(LeastBurst, requests * BurstSeconds));
    flow.tokenBucket.configure(tokens, std::max(LeastBurst, tokens * BurstSeconds));
}

} // namespace snipestall::policy
