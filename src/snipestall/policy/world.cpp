#include "snipestall/policy/world.hpp"

#include "snipestall/policy/admission.hpp"
#include "snipestall/policy/capacity.hpp"
#include "snipestall/policy/concurrency.hpp"
#include "snipestall/policy/fleet.hpp"
#include "snipestall/policy/health.hpp"
#include "snipestall/policy/outcomes.hpp"
#include "snipestall/policy/placement.hpp"
#include "snipestall/policy/retry.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/stream_move.hpp"
#include "snipestall/policy/wait_estimate.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy {
namespace {

/// Passes each event to the function that applies it to the tables.
struct EventHandler
{
    State &state;

    void operator()(const SettingsChanged &event) const { onSettingsChanged(state, event); }
    void operator()(const RequestArrived &event) const { onRequestArrived(state, event); }
    void operator()(const RequestCancelled &event) const { onRequestCancelled(state, event); }
    void operator()(const TokensProduced &event) const { onTokensProduced(state, event); }
    void operator()(const AttemptEnded &event) const { onAttemptEnded(state, event); }
    void operator()(const ServerUp &event) const { onServerUp(state, event); }
    void operator()(const ServerLeaving &event) const { onServerLeaving(state, event); }
    void operator()(const ServerGone &event) const { onServerGone(state, event); }
    void operator()(const ServerReport &event) const { onServerReport(state, event); }
    void operator()(const CacheChanged &event) const { onCacheChanged(state, event); }
    void operator()(const PeerSummary &event) const { onPeerSummary(state, event); }
    void operator()(const PeerGone &event) const { onPeerGone(state, event); }
    void operator()(const SelfLeaving &) const { state.leaving = true; }
    void operator()(const CapacityReport &event) const { onCapacityReport(state, event); }
    void operator()(const StartRefused &event) const { onStartRefused(state, event); }
};

using System = void (*)(State &);

/// The order is part of the contract: requests that expire in the queue free no slot, requests that
/// end do, and placeQueued() sees the results of all others.
constexpr System Systems[] = { &expireQueued,  &endPenalties, &reviewServers,
                               &resumeDelayed, &moveStreams,  &placeQueued };

std::optional<Time> earlier(std::optional<Time> a, std::optional<Time> b)
{
    if (!a || !b)
        return a ? a : b;
    return std::min(*a, *b);
}

/// Largest number of fingerprints sent to peers in one summary; a summary usually stays at about 40
/// bytes.
constexpr std::size_t MaxQuarantinesSent = 8;

/// Largest number of prefixes sent to peers for one pool: 64 bytes.
constexpr std::size_t MaxPrefixesSent = 16;

PoolSummary summaryOf(const Pool &pool)
{
    PoolSummary summary;
    summary.service = pool.service;
    summary.freeSlots = pool.freeFor(Lane::Normal);
    summary.urgentFreeSlots = pool.freeFor(Lane::Urgent);
    summary.servers = pool.index.totals().servers;
    summary.queued = static_cast<std::uint32_t>(pool.queue.size());
    summary.wait = expectedWait(pool, Lane::Normal).value_or(Duration::zero());
    summary.patientWait = expectedWait(pool, Lane::Patient);
    summary.urgentWait = expectedWait(pool, Lane::Urgent);
    summary.prefixSketch = pool.heat.hottest(MaxPrefixesSent);
    describeHealth(pool, summary);
    return summary;
}

} // namespace

struct World::Tables : State
{
    using State::State;
};

std::unique_ptr<World> World::create(std::string dataCentre, std::uint64_t seed)
{
    auto tables = std::make_unique<Tables>(std::move(dataCentre), seed);
    return std::unique_ptr<World>(new World(std::move(tables)));
}

World::World(std::unique_ptr<Tables> tables)
    : m_tables(std::move(tables))
{ }

World::~World() = default;

void World::step(Time now, std::span<const Event> events, std::vector<Command> &commands)
{
    m_tables->now = std::max(m_tables->now, now);
    m_tables->commands = &commands;
    for (const Event &event : events)
        std::visit(EventHandler { *m_tables }, event);
    for (const System system : Systems)
        system(*m_tables);
    m_tables->commands = nullptr;
}

std::optional<Time> World::nextWake() const
{
    const State &state = *m_tables;
    std::optional<Time> wake = earlier(state.giveUps.next(), state.backoffs.next());
    wake = earlier(wake, state.penalties.next());
    wake = earlier(wake, state.notices.next());
    // Servers are compared only while there is work to compare them by.
    return state.requests.empty() ? wake : earlier(wake, state.nextReview);
}

std::vector<PoolSummary> World::summaries(Time now) const
{
    std::vector<PoolSummary> summaries;
    for (const auto &[service, pool] : m_tables->pools) {
        // A leaving instance offers nothing, because it would hand new requests over at once. An
        // instance whose servers are all ejected still reports that, and the fingerprints it
        // quarantined.
        if (!m_tables->leaving && !pool.servers.empty())
            summaries.push_back(summaryOf(pool));
    }
    if (!summaries.empty())
        summaries.front().quarantined = m_tables->crashes.quarantined(now, MaxQuarantinesSent);
    return summaries;
}

} // namespace snipestall::policy
