#include "snipestall/serving/cache_holders.hpp"

#include "snipestall/base/rendezvous.hpp"

namespace snipestall::serving {

namespace {

/// Returns the server with the greatest weight for the key among those that `counts` accepts.
template<typename Predicate>
ServerStatePtr bestFor(const std::string &key, const std::vector<ServerStatePtr> &servers,
                       Predicate counts)
{
    ServerStatePtr best;
    std::uint64_t bestWeight = 0;
    for (const ServerStatePtr &server : servers) {
        if (!counts(*server))
            continue;
        const std::uint64_t weight = rendezvousWeight(key, server->info.id);
        const bool wins = best == nullptr || weight > bestWeight
            || (weight == bestWeight && server->info.id < best->info.id);
        if (wins) {
            best = server;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

CacheHolders::CacheHolders(std::uint64_t part, const std::vector<ServerStatePtr> &candidates,
                           const std::vector<ServerStatePtr> &all, std::optional<WallTime> time)
{
    const std::string key = std::to_string(part);
    m_preferred = bestFor(key, candidates, [](const ServerState &) { return true; });
    m_holder = m_preferred;
    if (m_preferred == nullptr || !time)
        return;
    // Servers of another version may have other weights, to which a cached part does not belong.
    const ServerStatePtr holder = bestFor(key, all, [this, time](const ServerState &server) {
        return !server.departed && server.info.version == m_preferred->info.version
            && !isNew(server, *time);
    });
    if (holder != nullptr)
        m_holder = holder;
}

} // namespace snipestall::serving
