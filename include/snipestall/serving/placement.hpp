#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/serving/prompt.hpp"
#include "snipestall/serving/prompt_cache_map.hpp"
#include "snipestall/serving/server_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {

class PeerLoads;
struct Service;

/// What a request asks of a backend server.
struct Demand
{
    const Service *service = nullptr;
    /// Set for generations only.
    std::optional<Prompt> prompt;
    /// Whether another server may go on with it when this one is lost.
    bool mayRepeat = true;
    /// Fingerprint of a request that no server is known to have answered; nothing for others.
    std::optional<std::uint64_t> untried;
    /// Servers that this request has been sent to already, by key.
    std::unordered_set<std::string> tried;
};

/// The chosen server and what the request adds to its load.
struct Placed
{
    ServerStatePtr server;
    /// Prompt tokens that the engine has to read, as far as is known.
    double unreadTokens = 0;
    /// Prompt tokens waiting ahead of it there.
    double tokensAhead = 0;
    /// Requests that all instances have there, as far as is known.
    std::uint32_t inFlight = 0;
};

/// Chooses the backend server of a request. Every instance sends to every server, from its own
/// exact counts and its peers' last statements.
///
/// Load: many instances with a few requests each choose at the same moment among servers whose
/// prompt caches differ. Harm: without a common rule each shared prompt is read by every server,
/// and a long prompt delays all tokens of the server that reads it. So the cost of a server is the
/// prompt tokens that wait there plus those of this request that it has not cached; which server
/// caches a shared part is agreed without messages by rendezvous hashing of the part. A part asked
/// for too often spills to the next server as soon as the queue costs more than reading it anew.
class Placement
{
public:
    /// `dataCentre`: where this instance is.
    Placement(const ServerTable &servers, const PeerLoads &peers, std::string dataCentre,
              std::uint64_t seed);

    /// Nothing if no server of the service takes work.
    [[nodiscard]] std::optional<Placed> choose(const Demand &demand, SteadyTime now);
    /// The request was sent: its shared parts are cached there from now on. Servers are named by
    /// their keys.
    void sent(const Demand &demand, const std::string &server, SteadyTime now);
    void serverGone(const std::string &server);

private:
    [[nodiscard]] std::vector<ServerStatePtr> candidates(const Demand &demand,
                                                         SteadyTime now) const;
    [[nodiscard]] Placed chooseForPrompt(const Demand &demand,
                                         const std::vector<ServerStatePtr> &servers,
                                         SteadyTime now) const;
    [[nodiscard]] Placed chooseForCall(const Demand &demand,
                                       const std::vector<ServerStatePtr> &servers, SteadyTime now);
    /// From 0 to 1.
    [[nodiscard]] double tieBreak(const Demand &demand, const ServerState &server);
    [[nodiscard]] double uncached(const Prompt &prompt, const ServerState &server,
                                  const std::string &preferred, SteadyTime now) const;

    const ServerTable &m_servers;
    const PeerLoads &m_peers;
    std::string m_dataCentre;
    PromptCacheMap m_cached;
    Random m_random;
};

} // namespace snipestall::serving
