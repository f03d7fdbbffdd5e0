#include "snipestall/serving/placement.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/serving/peer_loads.hpp"
#include "snipestall/serving/server_limits.hpp"
#include "snipestall/serving/service.hpp"
#include "snipestall/serving/slot_shares.hpp"
#include "snipestall/serving/stream_versions.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace snipestall::serving {

namespace {

/// By how much one request in flight delays the tokens of another, in prompt tokens: an engine's
/// step takes a few percent longer with each request in its batch, so a batch of some dozens costs
/// as much as a prompt of some thousand tokens.
constexpr double TokensPerRunningRequest = 60;
/// A server with all slots in use only queues: each further request waits for another to end, which
/// takes about as long as reading this many tokens.
constexpr double TokensPerQueuedRequest = 4000;
/// A call stays in its own data centre unless the servers of another one are less loaded by this
/// part of their slots, because the path there takes longer and may be cut.
constexpr double RemoteCallCost = 0.35;
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

/// The id of the server that all instances agree on for a shared part; empty if the prompt has
/// none.
std::string preferredServer(const Prompt &prompt, const std::vector<ServerStatePtr> &servers)
{
    const std::uint64_t part = affinityPart(prompt);
    if (part == 0)
        return {};
    std::vector<std::string> ids;
    ids.reserve(servers.size());
    for (const ServerStatePtr &server : servers)
        ids.push_back(server->info.id);
    return rendezvousPick(std::to_string(part), ids).value_or(std::string());
}

/// Cost of the running and queued requests at a server, in prompt tokens, including what does not
/// fit into its KV cache.
double runningCost(const ServerState &server, const ServerLoad &load, const EngineProfile &engine,
                   double neededTokens)
{
    double cost = load.inFlight * TokensPerRunningRequest;
    const int slots = std::max(server.info.slots, 1);
    if (load.inFlight >= static_cast<std::uint32_t>(slots))
        cost += (load.inFlight - slots + 1) * TokensPerQueuedRequest;
    const double freeTokens = engine.cacheTokens * UsableCacheFraction - load.heldTokens;
    if (neededTokens > freeTokens)
        cost += neededTokens - freeTokens;
    return cost;
}

} // namespace

Placement::Placement(const ServerTable &servers, const PeerLoads &peers,
                     const RolloutView &rollouts, const ServerLimits &limits,
                     const SlotShares &shares, const StreamVersions &streamVersions,
                     std::string dataCentre, std::uint64_t seed)
    : m_servers(servers)
    , m_peers(peers)
    , m_rollouts(rollouts)
    , m_limits(limits)
    , m_shares(shares)
    , m_streamVersions(streamVersions)
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
    const BackendServer &info = server.info;
    if (info.service != request.service->name || !server.takesWork()
        || request.tried.contains(server.key))
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
    return chooseForCall(request, servers, now);
}

double Placement::uncached(const Prompt &prompt, const ServerState &server,
                           const std::string &preferred, SteadyTime now) const
{
    double cachedTokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        const PromptPart &part = prompt.parts[i];
        // A part counts only if all parts before it are cached as well.
        if (server.info.id != preferred && !m_cached.holds(part.id, server.key, now))
            break;
        cachedTokens += part.tokens;
    }
    return std::max(0.0, prompt.promptTokens - cachedTokens);
}

Placement::Candidate Placement::promptCandidate(const PlacementRequest &request,
                                                const ServerStatePtr &server,
                                                const std::string &preferred, SteadyTime now) const
{
    const Prompt &prompt = *request.prompt;
    Candidate candidate;
    candidate.server = server;
    candidate.load = m_peers.at(server->key, now);
    candidate.load += server->own;
    candidate.unreadTokens = uncached(prompt, *server, preferred, now);
    const bool remote = server->info.dataCentre != m_dataCentre;
    const double remoteTokens =
        request.mayRepeat ? RemoteRepeatableTokens : RemoteUnrepeatableTokens;
    candidate.cost =
        (candidate.load.pendingTokens + candidate.unreadTokens) * server->speed.slowness()
        + (remote ? remoteTokens : 0)
        + runningCost(*server, candidate.load, *request.service->engine,
                      prompt.promptTokens + prompt.maxOutputTokens);
    return candidate;
}

ServerChoice Placement::chooseForPrompt(const PlacementRequest &request,
                                        const std::vector<ServerStatePtr> &servers,
                                        SteadyTime now) const
{
    const std::string preferred = preferredServer(*request.prompt, servers);
    std::vector<Candidate> candidates;
    candidates.reserve(servers.size());
    for (const ServerStatePtr &server : servers)
        candidates.push_back(promptCandidate(request, server, preferred, now));
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    return { best->server, best->unreadTokens, best->load.pendingTokens, best->load.inFlight };
}

// Load: instances with the same information choose at the same moment. Harm: all choose the same
// server; ties are therefore broken at random. Failure: copies of a request that crashes its server
// are sent by many instances at once, and crash as many servers before the first of them is known
// to have crashed. For a request that no server has answered yet, the random number is therefore
// derived from the request itself, so that its copies go to one server while other requests are
// still spread. A request that has been answered may be sent by thousands of callers.
double Placement::tieBreak(const PlacementRequest &request, const ServerState &server)
{
    if (!request.unansweredFingerprint)
        return m_random.uniform();
    const std::uint64_t hash =
        stableHash(std::to_string(*request.unansweredFingerprint) + server.key);
    return static_cast<double>(hash)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

ServerChoice Placement::chooseForCall(const PlacementRequest &request,
                                      const std::vector<ServerStatePtr> &servers, SteadyTime now)
{
    ServerChoice best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const ServerStatePtr &server : servers) {
        ServerLoad load = m_peers.at(server->key, now);
        load += server->own;
        const double slots = std::max(server->info.slots, 1);
        // A failure costs the caller a second attempt, so the failure rate of a server is added to
        // its load.
        const bool remote = server->info.dataCentre != m_dataCentre;
        const double cost = load.inFlight / slots
            + std::max(server->health.failureRate(), server->sharedFailureRate)
            + tieBreak(request, *server) / slots + (remote ? RemoteCallCost : 0);
        if (cost >= bestCost)
            continue;
        bestCost = cost;
        best = { server, 0, 0, load.inFlight };
    }
    return best;
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
