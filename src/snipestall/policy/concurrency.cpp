#include "snipestall/policy/concurrency.hpp"

#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// Weight of one token batch in ten, so that the average follows a change of load within a second
/// on a busy server.
constexpr double PaceGain = 0.1;

/// Time for a change of the limit to affect the pace before the next change. With a shorter
/// interval the limit swings between both extremes.
constexpr Duration AdjustInterval = std::chrono::milliseconds(500);

/// The limit is lowered above one pace and raised below the other. Between the two it stays,
/// because it would otherwise never settle.
constexpr double LowerLimitPace = 1.0;
constexpr double RaiseLimitPace = 0.85;

/// Multiplicative decrease, additive increase (Chiu and Jain, 1989).
constexpr double DecreaseFactor = 0.85;

/// The limit is not lowered below a quarter of the slots, where a lower limit gains little speed.
/// Otherwise the limit of an engine that can't meet its target at any concurrency would fall to
/// nothing, and its queue would grow without bound.
constexpr std::uint32_t MinLimitDivisor = 4;

/// Older reports do not reflect the present load.
constexpr Duration ReportLifetime = std::chrono::seconds(5);

std::uint32_t minLimit(const Server &server)
{
    return std::max(1U, server.slots / MinLimitDivisor);
}

void lowerLimit(Server &server)
{
    const auto lowered = static_cast<std::uint32_t>(server.limit * DecreaseFactor);
    server.limit = std::max(minLimit(server), std::min(lowered, server.limit - 1));
}

void adjustLimit(State &state, Server &server)
{
    // The limit may be raised when half of it is in use: a server with a low limit counts as
    // loaded, so it would never be filled to its limit.
    const bool inUse = 2 * server.running() >= server.limit;
    // While more requests run than the limit allows, the last decrease has not taken effect yet:
    // streams end one by one, over seconds. Further decreases would take the limit to its minimum
    // each time.
    const bool settled = server.running() <= server.limit;
    if (server.pace > LowerLimitPace && settled && server.limit > minLimit(server))
        lowerLimit(server);
    else if (server.pace < RaiseLimitPace && inUse && server.limit < server.slots)
        ++server.limit;
    else
        return;
    server.limitAdjustedAt = state.now;
    server.pool->index.update(server);
    state.markChanged(*server.pool);
}

} // namespace

void observePace(State &state, Server &server, double pace)
{
    server.pace += PaceGain * (pace - server.pace);
    if (state.now - server.limitAdjustedAt >= AdjustInterval)
        adjustLimit(state, server);
}

// Covers a server that another instance also uses, as in the moment when ownership moves. A report
// can only take slots away: a report of an idle server may lag, or the server may answer nothing
// and fail fast. A report never takes the last slot, so that a report that stays wrong can't
// exclude a working server.
void onServerReport(State &state, const ServerReport &event)
{
    Server *server = state.findServer(event.server);
    if (!server || server->limit == 0 || event.age > ReportLifetime)
        return;
    const std::uint32_t reported = event.running + event.queued;
    // The report lags, so it is compared with the largest number of requests that ran in the time
    // that it may cover.
    const std::uint32_t own = std::max(server->peak, server->previousPeak);
    const std::uint32_t foreignRequests = reported > own ? reported - own : 0;
    server->foreignRequests = std::min(foreignRequests, server->limit - 1);
    server->previousPeak = server->peak;
    server->peak = server->running();
    server->pool->index.update(*server);
    state.markChanged(*server->pool);
}

void onCacheChanged(State &state, const CacheChanged &event)
{
    const Server *server = state.findServer(event.server);
    if (!server)
        return;
    if (event.present)
        server->pool->prefixes.add(event.prefix, event.server);
    else
        server->pool->prefixes.remove(event.prefix, event.server);
}

} // namespace snipestall::policy
