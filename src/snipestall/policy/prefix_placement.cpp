#include "snipestall/policy/prefix_placement.hpp"

#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <cstddef>

namespace snipestall::policy {
namespace {

/// When half of all requests share one prefix, its holder may carry a quarter more than the mean
/// load (consistent hashing with bounded loads, Mirrokni et al. 2018). The other requests go
/// elsewhere, and the prefix gets a second holder there. Otherwise one server would be full while
/// the rest of its pool idles.
constexpr double MaxLoadFactor = 1.25;

/// Below this part of its limit a server is not slowed down by concurrent requests, so it may be
/// filled up to that point.
constexpr std::uint32_t UncrowdedDivisor = 2;

/// Number of leading blocks of a prompt that are recorded and looked up; bounds the work per event.
/// Prompts share their beginning, and a server that holds the beginning is likely to hold more.
constexpr std::size_t MaxBlocks = 8;

bool isWithinLoadBound(const Server &server)
{
    const ServerIndex::Totals &totals = server.pool->index.totals();
    const double mean = static_cast<double>(totals.slots - totals.free) / totals.servers;
    const double uncrowded = static_cast<double>(server.limit) / UncrowdedDivisor;
    return server.running() + 1 <= std::max(MaxLoadFactor * mean, uncrowded);
}

Server *bestHolder(State &state, const Pool &pool, std::uint64_t prefix)
{
    Server *best = nullptr;
    for (const ServerHandle handle : pool.prefixes.holders(prefix)) {
        Server *server = state.findServer(handle);
        // A cached prefix does not justify sending work to a server that is being probed.
        const bool healthy = server && server->healthState == HealthState::Healthy;
        if (!healthy || server->freeSlots() == 0 || !isWithinLoadBound(*server))
            continue;
        if (!best || server->freeSlots() > best->freeSlots())
            best = server;
    }
    return best;
}

} // namespace

bool isCachedHere(const Request &request)
{
    const bool known = !request.prefix.empty();
    return known && !request.pool->prefixes.holders(request.prefix.front()).empty();
}

Server *cachedServer(State &state, const Request &request)
{
    for (std::size_t i = std::min(request.prefix.size(), MaxBlocks); i > 0; --i) {
        if (Server *server = bestHolder(state, *request.pool, request.prefix[i - 1]))
            return server;
    }
    return nullptr;
}

void rememberPrefix(const Request &request, const Server &server)
{
    const std::size_t blocks = std::min(request.prefix.size(), MaxBlocks);
    for (std::size_t i = 0; i < blocks; ++i)
        request.pool->prefixes.add(request.prefix[i], server.handle);
    request.pool->heat.record(request.prefix);
}

} // namespace snipestall::policy
