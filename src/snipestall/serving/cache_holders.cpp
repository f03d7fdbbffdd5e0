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
    if (m_preferred == nullptr)
        return;
    // Servers of another version may have other weights, to which a cached part does not belong.
    m_holder = bestFor(key, all, [this, time](const ServerState &server) {
        return !server.departed && server.info.version == m_preferred->info.version
            && (!time || *time - server.info.startedAt >= SettledAfter);
    });
    if (m_holder == nullptr)
        m_holder = m_preferred;
}

} // namespace snipestall::serving
