#include "snipestall/policy/prefix_placing.hpp"

#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <cstddef>

namespace snipestall::policy {
namespace {

/// Load: half of all requests share one prefix. Its holder may carry a quarter more than the mean
/// (consistent hashing with bounded loads, Mirrokni et al. 2018); the rest goes elsewhere, and the
/// prefix gets a second home there. Harm prevented: one server full while its pool idles.
constexpr double BoundedLoad = 1.25;

/// Below this part of its limit a server is not slowed by company, so it may be filled that far.
constexpr std::uint32_t HarmlessPart = 2;

/// First blocks of a prompt that are remembered and looked up; bounds the work per event. What
/// prompts share lies at their beginning, and a server that holds it is likely to hold more.
constexpr std::size_t BlocksLookedAt = 8;

bool withinBound(const Server &server)
{
    const ServerIndex::Totals &totals = server.pool->index.totals();
    const double mean = static_cast<double>(totals.slots - totals.free) / totals.servers;
    const double harmless = static_cast<double>(server.limit) / HarmlessPart;
    return server.running() + 1 <= std::max(BoundedLoad * mean, harmless);
}

Server *bestHolder(State &state, const Pool &pool, std::uint64_t prefix)
{
    Server *best = nullptr;
    for (const ServerHandle handle : pool.prefixes.holders(prefix)) {
        Server *server = state.findServer(handle);
        // A cached prefix is no reason to send work to a server on probation.
        const bool healthy = server && server->standing == Standing::Healthy;
        if (!healthy || server->freeSlots() == 0 || !withinBound(*server))
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
    for (std::size_t i = std::min(request.prefix.size(), BlocksLookedAt); i > 0; --i) {
        if (Server *server = bestHolder(state, *request.pool, request.prefix[i - 1]))
            return server;
    }
    return nullptr;
}

void rememberPrefix(const Request &request, const Server &server)
{
    const std::size_t blocks = std::min(request.prefix.size(), BlocksLookedAt);
    for (std::size_t i = 0; i < blocks; ++i)
        request.pool->prefixes.add(request.prefix[i], server.handle);
    request.pool->heat.touch(request.prefix);
}

} // namespace snipestall::policy
