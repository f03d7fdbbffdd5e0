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

/// Longest prefixes looked up, and blocks remembered, of one request; bounds the work per event.
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

Server *cachedServer(State &state, const Request &request)
{
    const std::size_t blocks = request.prefix.size();
    const std::size_t looks = std::min(blocks, BlocksLookedAt);
    for (std::size_t i = 0; i < looks; ++i) {
        const std::uint64_t prefix = request.prefix[blocks - 1 - i];
        if (Server *server = bestHolder(state, *request.pool, prefix))
            return server;
    }
    return nullptr;
}

void rememberPrefix(const Request &request, const Server &server)
{
    const std::size_t blocks = std::min(request.prefix.size(), BlocksLookedAt);
    for (std::size_t i = 0; i < blocks; ++i)
        request.pool->prefixes.add(request.prefix[i], server.handle);
}

} // namespace snipestall::policy
