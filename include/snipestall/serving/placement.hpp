#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/serving/cache_holders.hpp"
#include "snipestall/serving/first_event_estimate.hpp"
#include "snipestall/serving/load_spread.hpp"
#include "snipestall/serving/prompt.hpp"
#include "snipestall/serving/prompt_cache_map.hpp"
#include "snipestall/serving/rollout_view.hpp"
#include "snipestall/serving/server_table.hpp"
#include "snipestall/serving/stream_origin.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {

class PeerLoads;
class ServerLimits;
class SlotShares;
class StreamVersions;
struct Service;

/// What a request needs from a backend server.
struct PlacementRequest
{
    const Service *service = nullptr;
    /// Set only for generations.
    std::optional<Prompt> prompt;
    /// Whether another server may continue the request if the chosen one is lost.
    bool mayRepeat = true;
    /// Fingerprint of a request that no server is known to have answered; not set for other
    /// requests.
    std::optional<std::uint64_t> unansweredFingerprint;
    /// Versions of servers that the request may be sent to, unless it continues a stream.
    VersionChoice versions = VersionChoice::Any;
    /// Set for the rest of a stream: only a server of this service and version can continue it.
    std::optional<StreamOrigin> origin;
    /// Whether the answer is a stream that other instances may have to continue.
    bool beginsResumable = false;
    /// Band of urgency of a prompt; see EngineRanks.
    std::size_t band = 0;
    /// Work that other instances have sent to the service since their reports: prompt tokens, or
    /// fully used servers.
    double unseenWork = 0;
    /// The common time of day, if it is known.
    std::optional<WallTime> time;
    /// Keys of the servers that this request has already been sent to.
    std::unordered_set<std::string> tried;
};

/// The chosen server and the load that the request adds to it.
struct ServerChoice
{
    ServerStatePtr server;
    /// Prompt tokens that the engine still has to read, as far as is known.
    double unreadTokens = 0;
    /// Prompt tokens that are queued ahead of the request on this server.
    double tokensAhead = 0;
    /// Requests of all instances in flight at this server, as far as is known.
    std::uint32_t inFlight = 0;
    /// For plain calls: time until the answer by the time that the call itself takes. It is above 1
    /// if the call waits for a slot first.
    double timesOwnDuration = 1;
    /// For prompts: the prediction for this server; nothing if there is none.
    std::optional<FirstEvent> firstEvent;
    /// The least of the predictions for all candidates; for plain calls of the whole answer.
    std::optional<FirstEvent> earliest;
    /// Whether some server can begin the request at once, or this is not known.
    bool hasFreeSlot = false;
    /// Requests in flight by slots, of the server where that is least.
    double leastUse = 0;
    /// The server from which the chosen one copies shared parts that it lacks.
    std::optional<wire::Endpoint> copyFrom;
};

/// Chooses the backend server of a request. Every instance sends to every server and bases its
/// choice on its own exact counts and on the last reports of its peers.
///
/// Load: many instances with a few requests each choose at the same moment among servers with
/// different prompt caches. Harm: without a common rule every server reads each shared prompt, and
/// a long prompt delays all tokens of the server that reads it. The cost of a server is therefore
/// the number of prompt tokens queued there plus the tokens of this request that it has not cached.
/// The instances agree without messages on the server that caches a shared part, by rendezvous
/// hashing of that part. Requests for a part that is requested too often spill over to the next
/// server as soon as the queue costs more than reading the part again.
class Placement
{
public:
    /// `dataCentre`: the data centre of this instance; `seed`: seed of the random tie-breaks.
    Placement(const ServerTable &servers, const PeerLoads &peers, const RolloutView &rollouts,
              const ServerLimits &limits, const SlotShares &shares,
              const StreamVersions &streamVersions, const FirstEventEstimate &estimate,
              std::string dataCentre, std::uint64_t seed);

    /// Returns nothing if no server of the service accepts requests, or if all that do have named a
    /// limit that is used up.
    [[nodiscard]] std::optional<ServerChoice> choose(const PlacementRequest &request,
                                                     SteadyTime now);
    /// If this instance only lacks a share of the slots of a server that might get the request,
    /// returns the instances that have one; otherwise none.
    [[nodiscard]] std::vector<std::string> shareHolders(const PlacementRequest &request,
                                                        SteadyTime now);
    /// If only the limits that servers have named, or shared slots, keep the request from being
    /// sent, returns when it may be sent; otherwise nothing.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    waitForLimits(const PlacementRequest &request, SteadyTime now) const;
    /// If all servers that could serve the request rest, those that it was sent to before included,
    /// returns the time until the first of them may get a request; otherwise nothing.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    waitForRests(const PlacementRequest &request, SteadyTime now) const;
    /// The request was sent, so its shared parts are cached on `server` from now on. `server` is
    /// the key of the server.
    void requestSent(const PlacementRequest &request, const std::string &server, SteadyTime now);
    /// Forgets what is cached on a server, given by its key.
    void forgetServer(const std::string &server);

private:
    /// Servers that may get the request. A request that tries a new version falls back to the old
    /// ones if it has no server.
    [[nodiscard]] std::vector<ServerStatePtr> candidates(const PlacementRequest &request,
                                                         SteadyTime now) const;
    /// Whether the server can serve the request, now or after a rest.
    [[nodiscard]] bool canServe(const PlacementRequest &request, const ServerState &server,
                                VersionChoice versions, SteadyTime now) const;
    /// The same for a server that may get the request now and has not got it before.
    [[nodiscard]] bool mayServe(const PlacementRequest &request, const ServerState &server,
                                VersionChoice versions, SteadyTime now) const;
    [[nodiscard]] std::vector<ServerStatePtr>
    candidatesOf(const PlacementRequest &request, VersionChoice versions, SteadyTime now) const;
    /// Servers of the new version that are on trial.
    [[nodiscard]] std::vector<std::string> serversOnTrial(const Service &service) const;
    /// A server that may get a prompt.
    struct Candidate
    {
        ServerStatePtr server;
        /// Load of all instances.
        ServerLoad load;
        double unreadTokens = 0;
        /// Whether it copies missing parts from the server that has them.
        bool copiesFromHolder = false;
        /// What it costs, in prompt tokens.
        SpreadCandidate spread;
    };
    [[nodiscard]] Candidate promptCandidate(const PlacementRequest &request,
                                            const ServerStatePtr &server,
                                            const CacheHolders &holders, SteadyTime now) const;
    [[nodiscard]] ServerChoice chooseForPrompt(const PlacementRequest &request,
                                               const std::vector<ServerStatePtr> &servers,
                                               SteadyTime now);
    [[nodiscard]] ServerChoice chooseForCall(const PlacementRequest &request,
                                             const std::vector<ServerStatePtr> &servers);
    [[nodiscard]] std::optional<FirstEvent> predict(const PlacementRequest &request,
                                                    const Candidate &candidate) const;
    /// The prediction for the server where the first event comes first; nothing if that can't be
    /// told.
    [[nodiscard]] std::optional<FirstEvent>
    earliest(const PlacementRequest &request, const std::vector<Candidate> &candidates) const;
    /// The same as predict() for plain calls, from the average duration of those that ended there.
    [[nodiscard]] std::optional<FirstEvent> predictCall(const ServerState &server) const;
    /// Load of all instances.
    [[nodiscard]] ServerLoad loadAt(const ServerState &server) const;
    /// The higher of the rates that this instance and all instances together have observed.
    [[nodiscard]] static double failureRate(const ServerState &server);
    /// Random number from 0 up to 1 that decides between servers that are equally good. For a
    /// request that no server has answered yet, it depends on the request and on `server` only.
    [[nodiscard]] double drawFor(const PlacementRequest &request, const std::string &server);
    /// Tokens of the shared parts of a prompt.
    struct CachedParts
    {
        double cachedTokens = 0;
        double missingTokens = 0;
    };
    /// What `server` has of the shared parts, of which `holder` has all.
    [[nodiscard]] CachedParts cachedParts(const Prompt &prompt, const ServerState &server,
                                          const ServerState *holder, SteadyTime now) const;
    [[nodiscard]] CacheHolders holdersOf(const PlacementRequest &request,
                                         const std::vector<ServerStatePtr> &servers) const;
    /// Time of copying a token, in tokens that are read meanwhile.
    [[nodiscard]] double copyCost(const PlacementRequest &request) const;

    const ServerTable &m_servers;
    const PeerLoads &m_peers;
    const RolloutView &m_rollouts;
    const ServerLimits &m_limits;
    const SlotShares &m_shares;
    const StreamVersions &m_streamVersions;
    const FirstEventEstimate &m_estimate;
    std::string m_dataCentre;
    PromptCacheMap m_cached;
    Random m_random;
};

} // namespace snipestall::serving
