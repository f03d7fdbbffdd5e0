#include "snipestall/policy/concurrency.hpp"

#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// One token batch in ten: follows a change of load within a second of a busy server.
constexpr double PaceGain = 0.1;

/// Time for one change of the limit to show in the pace before the next; faster, and the limit
/// swings between both ends.
constexpr Duration AdjustInterval = std::chrono::milliseconds(500);

/// Between these two the limit stays, or it would never settle.
constexpr double TooSlow = 1.0;
constexpr double RoomToSpare = 0.85;

/// Multiplicative decrease, additive increase (Chiu and Jain, 1989).
constexpr double Decrease = 0.85;

/// An engine whose target can't be met at any concurrency would be driven down to nothing and its
/// queue would grow without end; below a quarter of the slots a lower limit buys little speed.
constexpr std::uint32_t LeastPart = 4;

/// Older reports say nothing about now.
constexpr Duration ReportLifetime = std::chrono::seconds(5);

std::uint32_t leastLimit(const Server &server)
{
    return std::max(1U, server.slots / LeastPart);
}

void lower(Server &server)
{
    const auto lowered = static_cast<std::uint32_t>(server.limit * Decrease);
    server.limit = std::max(leastLimit(server), std::min(lowered, server.limit - 1));
}

void adjust(State &state, Server &server)
{
    // Half in use is enough to raise it: a low limit makes a server look loaded, so that it would
    // never be filled to it.
    const bool inUse = 2 * server.running() >= server.limit;
    // While more runs than the limit, the last lowering has not had its effect: streams end one
    // by one, over seconds, and lowering on would end at the bottom each time.
    const bool settled = server.running() <= server.limit;
    if (server.pace > TooSlow && settled && server.limit > leastLimit(server))
        lower(server);
    else if (server.pace < RoomToSpare && inUse && server.limit < server.slots)
        ++server.limit;
    else
        return;
    server.adjustedAt = state.now;
    server.pool->index.update(server);
    state.touch(*server.pool);
}

} // namespace

void observePace(State &state, Server &server, double pace)
{
    server.pace += PaceGain * (pace - server.pace);
    if (state.now - server.adjustedAt >= AdjustInterval)
        adjust(state, server);
}

// Load: a server that another instance also fills, as in the moment when ownership moves. The
// report can only take slots away: one that says idle may be lagging, or the server answers
// nothing and fails fast. It never takes the last slot, so that a report that is wrong for ever
// can't shut a working server out.
void onServerReport(State &state, const ServerReport &event)
{
    Server *server = state.findServer(event.server);
    if (!server || server->limit == 0 || event.age > ReportLifetime)
        return;
    const std::uint32_t reported = event.running + event.queued;
    // The report lags: compare with the most that ran in the time it can speak of.
    const std::uint32_t own = std::max(server->peak, server->lastPeak);
    const std::uint32_t foreign = reported > own ? reported - own : 0;
    server->foreign = std::min(foreign, server->limit - 1);
    server->lastPeak = server->peak;
    server->peak = server->running();
    server->pool->index.update(*server);
    state.touch(*server->pool);
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
