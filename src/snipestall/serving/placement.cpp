#include "snipestall/serving/placement.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/serving/peer_loads.hpp"
#include "snipestall/serving/service.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace snipestall::serving {

namespace {

/// What one request in flight delays the tokens of another, in prompt tokens: an engine's step
/// grows by a few percent with each request in its batch, so a batch of some dozens weighs like a
/// prompt of some thousand tokens.
constexpr double TokensPerRunning = 60;
/// Beyond its slots a server only queues: each request more waits for one to end, which takes
/// about as long as reading this many tokens.
constexpr double TokensPerQueued = 4000;
/// A call stays in its own data centre unless another one's servers are this much emptier, as a
/// part of their slots: the way there takes longer and may be cut.
constexpr double CostElsewhere = 0.35;
/// A stream that can't be resumed breaks when the path to its server does; between data centres
/// that is likelier by far. It goes elsewhere only where that saves this many prompt tokens: about
/// what the queue of a busy server holds.
constexpr double TokensElsewhereOnce = 4000;
/// Other streams go on elsewhere then, at the price of reading their prompt again and a late
/// answer.
constexpr double TokensElsewhere = 300;
/// A part of the KV cache is kept free for the output of what runs.
constexpr double UsablePartOfCache = 0.85;

/// The last part that other requests share; 0 if there is none.
std::uint64_t affinityPart(const Prompt &prompt)
{
    if (prompt.parts.size() < 2)
        return 0;
    return prompt.parts[prompt.parts.size() - 2].id;
}

/// The server that all instances agree on for a shared part; empty if the prompt shares none.
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

/// Requests at a server in prompt tokens; what fits into its memory only.
double runningCost(const ServerState &server, const ServerLoad &load, const EngineProfile &engine,
                   double needed)
{
    double cost = load.inFlight * TokensPerRunning;
    const int slots = std::max(server.info.slots, 1);
    if (load.inFlight >= static_cast<std::uint32_t>(slots))
        cost += (load.inFlight - slots + 1) * TokensPerQueued;
    const double room = engine.cacheTokens * UsablePartOfCache - load.heldTokens;
    if (needed > room)
        cost += needed - room;
    return cost;
}

} // namespace

Placement::Placement(const ServerTable &servers, const PeerLoads &peers, std::string dataCentre,
                     std::uint64_t seed)
    : m_servers(servers)
    , m_peers(peers)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{ }

std::vector<ServerStatePtr> Placement::candidates(const Demand &demand, SteadyTime now) const
{
    std::vector<ServerStatePtr> healthy;
    std::vector<ServerStatePtr> avoided;
    for (const auto &[id, server] : m_servers.all()) {
        if (server->info.service != demand.service->name || !server->takesWork()
            || demand.tried.contains(server->key))
            continue;
        (m_servers.usable(*server, now) ? healthy : avoided).push_back(server);
    }
    // A server under suspicion beats no server at all.
    return healthy.empty() ? avoided : healthy;
}

std::optional<Placed> Placement::choose(const Demand &demand, SteadyTime now)
{
    const std::vector<ServerStatePtr> servers = candidates(demand, now);
    if (servers.empty())
        return std::nullopt;
    if (demand.prompt && demand.service->engine)
        return chooseForPrompt(demand, servers, now);
    return chooseForCall(demand, servers, now);
}

double Placement::uncached(const Prompt &prompt, const ServerState &server,
                           const std::string &preferred, SteadyTime now) const
{
    double cachedTokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        const PromptPart &part = prompt.parts[i];
        // A part counts only if all parts before it are cached too.
        if (server.info.id != preferred && !m_cached.holds(part.id, server.key, now))
            break;
        cachedTokens += part.tokens;
    }
    return std::max(0.0, prompt.promptTokens - cachedTokens);
}

Placed Placement::chooseForPrompt(const Demand &demand, const std::vector<ServerStatePtr> &servers,
                                  SteadyTime now) const
{
    const Prompt &prompt = *demand.prompt;
    const std::string preferred = preferredServer(prompt, servers);
    Placed best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const ServerStatePtr &server : servers) {
        ServerLoad load = m_peers.at(server->key, now);
        load += server->own;
        const double toRead = uncached(prompt, *server, preferred, now);
        const bool elsewhere = server->info.dataCentre != m_dataCentre;
        const double distance = demand.mayRepeat ? TokensElsewhere : TokensElsewhereOnce;
        const double cost = (load.pendingTokens + toRead) * server->speed.slowness()
            + (elsewhere ? distance : 0)
            + runningCost(*server, load, *demand.service->engine,
                          prompt.promptTokens + prompt.maxOutputTokens);
        if (cost >= bestCost)
            continue;
        bestCost = cost;
        best = { server, toRead, load.pendingTokens, load.inFlight };
    }
    return best;
}

// Load: instances that see the same figures choose at the same moment. Harm: all choose the same
// server; so it is left to chance. Failure: copies of a request that ends its server, sent at many
// instances at once, end as many servers before the first of them is known to have ended. Chance is
// drawn from a request that nobody has answered yet, so that its copies meet at one server while
// other requests still spread; once answered, it may be sent by thousands.
double Placement::tieBreak(const Demand &demand, const ServerState &server)
{
    if (!demand.untried)
        return m_random.uniform();
    const std::uint64_t drawn = stableHash(std::to_string(*demand.untried) + server.key);
    return static_cast<double>(drawn)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

Placed Placement::chooseForCall(const Demand &demand, const std::vector<ServerStatePtr> &servers,
                                SteadyTime now)
{
    Placed best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const ServerStatePtr &server : servers) {
        ServerLoad load = m_peers.at(server->key, now);
        load += server->own;
        const double slots = std::max(server->info.slots, 1);
        // A failure costs the caller a second attempt, so a server that fails a part of its
        // requests counts as that much fuller.
        const bool elsewhere = server->info.dataCentre != m_dataCentre;
        const double cost = load.inFlight / slots + server->health.failureRate()
            + tieBreak(demand, *server) / slots + (elsewhere ? CostElsewhere : 0);
        if (cost >= bestCost)
            continue;
        bestCost = cost;
        best = { server, 0, 0, load.inFlight };
    }
    return best;
}

void Placement::sent(const Demand &demand, const std::string &server, SteadyTime now)
{
    if (!demand.prompt)
        return;
    for (std::size_t i = 0; i + 1 < demand.prompt->parts.size(); ++i)
        m_cached.used(demand.prompt->parts[i].id, server, now);
}

void Placement::serverGone(const std::string &server)
{
    m_cached.forgetServer(server);
}

} // namespace snipestall::serving
