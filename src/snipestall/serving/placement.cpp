#include "snipestall/serving/placement.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/serving/first_event_estimate.hpp"
#include "snipestall/serving/peer_loads.hpp"
#include "snipestall/serving/server_limits.hpp"
#include "snipestall/serving/service.hpp"
#include "snipestall/serving/slot_shares.hpp"
#include "snipestall/serving/stream_versions.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

namespace snipestall::serving {

namespace {

/// By how much one request in flight delays the tokens of another, in prompt tokens: an engine's
/// step takes a few percent longer with each request in its batch, so a batch of some dozens costs
/// as much as a prompt of some thousand tokens.
constexpr double TokensPerRunningRequest = 60;
/// A server with all slots in use only queues: each further request waits for another to end, which
/// takes at least as long as reading this many tokens, because a full batch slows the engine down.
constexpr double TokensPerQueuedRequest = 4000;
/// A call stays in its own data centre unless the servers of another one are less loaded by this
/// part of their slots, because the path there takes longer and may be cut.
constexpr double RemoteCallCost = 0.35;
/// What a call itself takes of a server of the usual speed. On a slow server it takes longer even
/// if nothing else runs there.
constexpr double OwnCallCost = 0.5;
/// A failed prompt costs its caller the request, or another attempt that starts late: more than
/// several places in a queue.
constexpr double TokensPerFailure = 20000;
/// Copying takes a few milliseconds to begin with, in which some hundred tokens are read.
constexpr double MinCopiedTokens = 1000;
/// Each further copy of a part takes memory that other parts lose, so a part goes to a server
/// without it and without need only if that saves a tenth of its tokens.
constexpr double FurtherCopyCost = 0.1;
/// Draws are below 1.
constexpr double MaxDraw = 1 - 1e-9;
/// A stream that cannot be resumed breaks when the path to its server does, which is far more
/// likely between data centres. It goes to another data centre only where that saves this many
/// prompt tokens: about as many as the queue of a busy server holds.
constexpr double RemoteUnrepeatableTokens = 4000;
/// A stream that can be resumed is continued on another server when the path breaks, at the cost of
/// reading its prompt again and of a late answer.
constexpr double RemoteRepeatableTokens = 300;
/// Time after which a caller may try again, probably at another instance, if only servers with a
/// limit are left and other instances send to these.
constexpr std::chrono::milliseconds WaitAtOthers { 500 };
/// Some requests of a plain service end within this time.
constexpr std::chrono::milliseconds WaitForSlot { 100 };
/// The rest of the KV cache is kept free for the output of the running requests.
constexpr double UsableCacheFraction = 0.85;

/// The id of the last part that is shared with other requests; 0 if there is none.
std::uint64_t affinityPart(const Prompt &prompt)
{
    if (prompt.parts.size() < 2)
        return 0;
    return prompt.parts[prompt.parts.size() - 2].id;
}

/// Cost of the running and queued requests at a server, in prompt tokens, including what does not
/// fit into its KV cache. `queuedRequest`: cost of one that waits for a slot.
double runningCost(const ServerState &server, const ServerLoad &load, const EngineProfile &engine,
                   double neededTokens, double queuedRequest)
{
    double cost = load.inFlight * TokensPerRunningRequest;
    const int slots = std::max(server.info.slots, 1);
    if (load.inFlight >= static_cast<std::uint32_t>(slots))
        cost += (load.inFlight - slots + 1) * queuedRequest;
    const double freeTokens = engine.cacheTokens * UsableCacheFraction - load.heldTokens;
    if (neededTokens > freeTokens)
        cost += neededTokens - freeTokens;
    return cost;
}

/// Numbers the data centres of the servers in the order in which they come.
class DataCentreNumbers
{
public:
    std::size_t numberOf(const std::string &dataCentre)
    {
        return m_numbers.try_emplace(dataCentre, m_numbers.size()).first->second;
    }

private:
    std::unordered_map<std::string, std::size_t> m_numbers;
};

/// Calls that have to end before another one has a slot, by the slots of the server.
double callsAheadBySlot(const ServerState &server, std::uint32_t inFlight)
{
    const int slots = std::max(server.info.slots, 1);
    return std::max(static_cast<double>(inFlight) + 1 - slots, 0.0) / slots;
}

bool hasFreeSlot(const ServerState &server, const ServerLoad &load)
{
    return load.pendingTokens <= 0
        && load.inFlight < static_cast<std::uint32_t>(std::max(server.info.slots, 1));
}

} // namespace

Placement::Placement(const ServerTable &servers, const PeerLoads &peers,
                     const RolloutView &rollouts, const ServerLimits &limits,
                     const SlotShares &shares, const StreamVersions &streamVersions,
                     const FirstEventEstimate &estimate, std::string dataCentre, std::uint64_t seed)
    : m_servers(servers)
    , m_peers(peers)
    , m_rollouts(rollouts)
    , m_limits(limits)
    , m_shares(shares)
    , m_streamVersions(streamVersions)
    , m_estimate(estimate)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{ }

std::vector<std::string> Placement::serversOnTrial(const Service &service) const
{
    const std::size_t count = m_rollouts.serversInUse(service.name);
    std::vector<std::pair<std::uint64_t, std::string>> order;
    if (count == 0)
        return {};
    // The instances agree on these servers without messages; they are spread over the data centres.
    for (const auto &[id, server] : m_servers.all()) {
        if (server->info.service == service.name && server->takesWork()
            && m_rollouts.allows(service.name, server->info.version, VersionChoice::New))
            order.emplace_back(stableHash(id), id);
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), count));
    std::vector<std::string> ids;
    ids.reserve(order.size());
    for (auto &[hash, id] : order)
        ids.push_back(std::move(id));
    return ids;
}

std::vector<ServerStatePtr> Placement::candidates(const PlacementRequest &request,
                                                  SteadyTime now) const
{
    std::vector<ServerStatePtr> servers = candidatesOf(request, request.versions, now);
    if (servers.empty() && request.versions == VersionChoice::New)
        return candidatesOf(request, VersionChoice::Old, now);
    return servers;
}

bool Placement::mayServe(const PlacementRequest &request, const ServerState &server,
                         VersionChoice versions, SteadyTime now) const
{
    return server.opensAt() <= now && !request.tried.contains(server.key)
        && canServe(request, server, versions, now);
}

bool Placement::canServe(const PlacementRequest &request, const ServerState &server,
                         VersionChoice versions, SteadyTime now) const
{
    const BackendServer &info = server.info;
    if (info.service != request.service->name || !server.takesWork())
        return false;
    if (request.origin)
        return request.origin->service == info.service && request.origin->version == info.version
            && m_rollouts.maySend(info.service, info.version, now);
    return m_rollouts.allows(info.service, info.version, versions)
        && (!request.beginsResumable
            || m_streamVersions.mayBegin({ info.service, info.version }, now));
}

std::optional<std::chrono::milliseconds> Placement::waitForLimits(const PlacementRequest &request,
                                                                  SteadyTime now) const
{
    if (!candidates(request, now).empty())
        return std::nullopt;
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto &[id, server] : m_servers.all()) {
        const bool isShared = m_shares.isShared(server->info.service, now);
        if (!mayServe(request, *server, VersionChoice::Any, now)
            || !(isShared || m_limits.isLimited(server->key)))
            continue;
        auto wait = m_limits.waitFor(*server, now).value_or(WaitAtOthers);
        if (isShared)
            wait = std::max(wait, WaitForSlot);
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

std::optional<std::chrono::milliseconds> Placement::waitForRests(const PlacementRequest &request,
                                                                 SteadyTime now) const
{
    std::optional<SteadyTime> first;
    for (const auto &[id, server] : m_servers.all()) {
        if (!canServe(request, *server, VersionChoice::Any, now))
            continue;
        if (server->opensAt() <= now)
            return std::nullopt;
        first = std::min(first.value_or(server->opensAt()), server->opensAt());
    }
    if (!first)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(*first - now);
}

std::vector<std::string> Placement::shareHolders(const PlacementRequest &request, SteadyTime now)
{
    std::vector<ServerStatePtr> shared;
    for (const auto &[id, server] : m_servers.all()) {
        if (mayServe(request, *server, request.versions, now) && m_limits.maySend(*server, now)
            && m_shares.isShared(server->info.service, now))
            shared.push_back(server);
    }
    if (shared.empty())
        return {};
    return m_shares.holders(*shared[m_random.below(shared.size())]);
}

std::vector<ServerStatePtr> Placement::candidatesOf(const PlacementRequest &request,
                                                    VersionChoice versions, SteadyTime now) const
{
    const bool triesNew = request.origin
        ? m_rollouts.isOnTrial(request.origin->service, request.origin->version)
        : versions == VersionChoice::New;
    const std::vector<std::string> onTrial =
        triesNew ? serversOnTrial(*request.service) : std::vector<std::string>();
    std::vector<ServerStatePtr> healthy;
    std::vector<ServerStatePtr> avoided;
    for (const auto &[id, server] : m_servers.all()) {
        if (!mayServe(request, *server, versions, now) || !m_limits.maySend(*server, now)
            || !m_shares.maySend(*server, now))
            continue;
        if (!onTrial.empty() && std::find(onTrial.begin(), onTrial.end(), id) == onTrial.end())
            continue;
        (m_servers.usable(*server, now) ? healthy : avoided).push_back(server);
    }
    // A suspected server is better than none.
    return healthy.empty() ? avoided : healthy;
}

std::optional<ServerChoice> Placement::choose(const PlacementRequest &request, SteadyTime now)
{
    const std::vector<ServerStatePtr> servers = candidates(request, now);
    if (servers.empty())
        return std::nullopt;
    if (request.prompt && request.service->engine)
        return chooseForPrompt(request, servers, now);
    return chooseForCall(request, servers);
}

Placement::CachedParts Placement::cachedParts(const Prompt &prompt, const ServerState &server,
                                              const ServerState *holder, SteadyTime now) const
{
    CachedParts parts;
    bool cached = true;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        const PromptPart &part = prompt.parts[i];
        // A part counts only if all parts before it are cached as well.
        cached = cached && (&server == holder || m_cached.holds(part.id, server.key, now));
        (cached ? parts.cachedTokens : parts.missingTokens) += part.tokens;
    }
    return parts;
}

CacheHolders Placement::holdersOf(const PlacementRequest &request,
                                  const std::vector<ServerStatePtr> &servers) const
{
    const std::uint64_t part = affinityPart(*request.prompt);
    if (part == 0)
        return { 0, {}, {}, std::nullopt };
    // Hashing takes most of the time of a choice among thousands of servers; it is done once where
    // the server that gets the prompts has the parts as well.
    if (request.service->engine->copyPerToken.count() <= 0 || !request.time)
        return { part, servers, servers, std::nullopt };
    const std::vector<ServerStatePtr> all = m_servers.ofService(request.service->name);
    const bool oneHolder = all.size() == servers.size()
        && std::none_of(servers.begin(), servers.end(), [&request](const ServerStatePtr &server) {
                               return CacheHolders::isNew(*server, *request.time);
                           });
    return { part, servers, all, oneHolder ? std::nullopt : request.time };
}

double Placement::copyCost(const PlacementRequest &request) const
{
    const double rate = m_estimate.readRate(request.service->name);
    // Where the rate is not known yet, copying a token counts like reading it.
    return rate > 0 ? std::min(request.service->engine->copyPerToken.count() * rate, 1.0) : 1;
}

Placement::Candidate Placement::promptCandidate(const PlacementRequest &request,
                                                const ServerStatePtr &server,
                                                const CacheHolders &holders, SteadyTime now) const
{
    const Prompt &prompt = *request.prompt;
    const Service &service = *request.service;
    Candidate candidate;
    candidate.server = server;
    candidate.load = loadAt(*server);
    const ServerState *holder = holders.holder().get();
    const CachedParts parts = cachedParts(prompt, *server, holder, now);
    candidate.unreadTokens =
        std::max(0.0, prompt.promptTokens - parts.cachedTokens - parts.missingTokens);
    double spreadingTokens = 0;
    // An engine that copies over a path that has been cut waits, and the prompts behind it as well.
    // The path between data centres is cut far more often than that within one.
    const bool mayCopy = service.engine->copyPerToken.count() > 0 && holder != nullptr
        && holder != server.get() && holder->info.dataCentre == server->info.dataCentre;
    if (mayCopy && parts.missingTokens >= MinCopiedTokens) {
        candidate.copiesFromHolder = true;
        candidate.unreadTokens += parts.missingTokens * copyCost(request);
        if (server != holders.preferred())
            spreadingTokens = parts.missingTokens * FurtherCopyCost;
    } else {
        candidate.unreadTokens += parts.missingTokens;
    }
    const double slowness = server->speed.slowness();
    const bool isFull =
        candidate.load.inFlight >= static_cast<std::uint32_t>(std::max(server->info.slots, 1));
    const double queuedRequest = isFull
        ? std::max(TokensPerQueuedRequest,
                   m_estimate.tokensPerSlotWait(service.name, server->info.slots))
        : TokensPerQueuedRequest;
    candidate.spread.load = slowness
        * (candidate.load.pendingTokens
           + runningCost(*server, candidate.load, *service.engine,
                         prompt.promptTokens + prompt.maxOutputTokens, queuedRequest));
    const bool remote = server->info.dataCentre != m_dataCentre;
    const double remoteTokens =
        request.mayRepeat ? RemoteRepeatableTokens : RemoteUnrepeatableTokens;
    candidate.spread.own = candidate.unreadTokens * slowness + spreadingTokens
        + (remote ? remoteTokens : 0) + failureRate(*server) * TokensPerFailure;
    return candidate;
}

ServerChoice Placement::chooseForPrompt(const PlacementRequest &request,
                                        const std::vector<ServerStatePtr> &servers, SteadyTime now)
{
    const CacheHolders holders = holdersOf(request, servers);
    std::vector<Candidate> candidates;
    std::vector<SpreadCandidate> spread;
    DataCentreNumbers dataCentres;
    for (const ServerStatePtr &server : servers) {
        candidates.push_back(promptCandidate(request, server, holders, now));
        spread.push_back(candidates.back().spread);
        spread.back().group = dataCentres.numberOf(server->info.dataCentre);
    }
    const LoadSpread choice(std::move(spread), request.unseenWork);
    const Candidate &chosen = candidates[choice.choose(drawFor(request, {}))];
    ServerChoice placed;
    placed.server = chosen.server;
    placed.unreadTokens = chosen.unreadTokens;
    placed.tokensAhead = chosen.load.pendingTokens;
    placed.inFlight = chosen.load.inFlight;
    if (chosen.copiesFromHolder)
        placed.copyFrom = holders.holder()->info.address;
    placed.firstEvent = predict(request, chosen);
    placed.leastUse = std::numeric_limits<double>::infinity();
    for (const Candidate &each : candidates) {
        placed.hasFreeSlot = placed.hasFreeSlot || hasFreeSlot(*each.server, each.load);
        placed.leastUse = std::min(placed.leastUse,
                                   static_cast<double>(each.load.inFlight)
                                       / std::max(each.server->info.slots, 1));
    }
    // With a free slot nothing is refused, and thousands of predictions need not be made.
    if (!placed.hasFreeSlot)
        placed.earliest = earliest(request, candidates);
    return placed;
}

std::optional<FirstEvent> Placement::earliest(const PlacementRequest &request,
                                              const std::vector<Candidate> &candidates) const
{
    std::optional<FirstEvent> first;
    for (const Candidate &each : candidates) {
        const auto firstEvent = predict(request, each);
        // It may come first from a server for which it can't be predicted.
        if (!firstEvent)
            return std::nullopt;
        if (!first || firstEvent->total < first->total)
            first = firstEvent;
    }
    return first;
}

std::optional<FirstEvent> Placement::predict(const PlacementRequest &request,
                                             const Candidate &candidate) const
{
    const ServerState &server = *candidate.server;
    return m_estimate.predict(request.service->name,
                              { candidate.load, server.info.slots, server.speed.slowness(),
                                request.band, candidate.unreadTokens });
}

ServerLoad Placement::loadAt(const ServerState &server) const
{
    ServerLoad load = m_peers.at(server.key);
    load += server.own;
    return load;
}

double Placement::failureRate(const ServerState &server)
{
    return std::max(server.health.failureRate(), server.sharedFailureRate);
}

// Load: instances with the same information choose at the same moment. Harm: all choose the same
// server; ties are therefore broken at random. Failure: copies of a request that crashes its server
// are sent by many instances at once, and crash as many servers before the first of them is known
// to have crashed. For a request that no server has answered yet, the random number is therefore
// derived from the request itself, so that its copies go to one server while other requests are
// still spread. A request that has been answered may be sent by thousands of callers.
double Placement::drawFor(const PlacementRequest &request, const std::string &server)
{
    if (!request.unansweredFingerprint)
        return m_random.uniform();
    const std::uint64_t hash = stableHash(std::to_string(*request.unansweredFingerprint) + server);
    // The hash may round up to 1.
    return std::min(static_cast<double>(hash)
                        / static_cast<double>(std::numeric_limits<std::uint64_t>::max()),
                    MaxDraw);
}

ServerChoice Placement::chooseForCall(const PlacementRequest &request,
                                      const std::vector<ServerStatePtr> &servers)
{
    std::vector<SpreadCandidate> spread;
    DataCentreNumbers dataCentres;
    for (const ServerStatePtr &server : servers) {
        const ServerLoad load = loadAt(*server);
        const double slots = std::max(server->info.slots, 1);
        const double slowness = server->speed.slowness();
        const bool remote = server->info.dataCentre != m_dataCentre;
        // A failure costs the caller a second attempt, so the failure rate of a server is added to
        // its load.
        spread.push_back({ slowness * load.inFlight / slots,
                           slowness * OwnCallCost + failureRate(*server)
                               + drawFor(request, server->key) / slots
                               + (remote ? RemoteCallCost : 0),
                           dataCentres.numberOf(server->info.dataCentre) });
    }
    const LoadSpread choice(std::move(spread), request.unseenWork);
    ServerChoice placed;
    placed.server = servers[choice.choose(drawFor(request, {}))];
    placed.inFlight = loadAt(*placed.server).inFlight;
    placed.timesOwnDuration = 1 + callsAheadBySlot(*placed.server, placed.inFlight);
    for (const ServerStatePtr &server : servers) {
        const auto first = predictCall(*server);
        placed.hasFreeSlot = placed.hasFreeSlot || !first || first->wait.count() <= 0;
        if (first && (!placed.earliest || first->total < placed.earliest->total))
            placed.earliest = first;
    }
    return placed;
}

std::optional<FirstEvent> Placement::predictCall(const ServerState &server) const
{
    const auto duration = server.speed.pause();
    if (!duration)
        return std::nullopt;
    const std::chrono::duration<double> wait =
        *duration * callsAheadBySlot(server, loadAt(server).inFlight);
    return FirstEvent { wait, wait + *duration };
}

void Placement::requestSent(const PlacementRequest &request, const std::string &server,
                            SteadyTime now)
{
    if (!request.prompt)
        return;
    for (std::size_t i = 0; i + 1 < request.prompt->parts.size(); ++i)
        m_cached.recordUse(request.prompt->parts[i].id, server, now);
}

void Placement::forgetServer(const std::string &server)
{
    m_cached.forgetServer(server);
}

} // namespace snipestall::serving
