#include "snipestall/policy/capacity.hpp"

#include "snipestall/policy/class_cost.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>

namespace snipestall::policy {
namespace {

/// Part of a server's throughput that demand may take. The rest covers bursts until a start is
/// done; releasing only below a lower part keeps a demand that wavers from starting and stopping.
constexpr double StartAbove = 0.75;
constexpr double ReleaseBelow = 0.60;

/// Queued work is to be gone after this many rounds of the slots.
constexpr double RoundsToDrain = 2.0;

/// Load: a wave that takes half of the pool. Starts asked for at once are bounded, since each
/// loads its model from a weight store with a limited rate.
constexpr std::uint32_t MaxStarts = 4;

/// A start that no report shows after this time was lost with the steward that should have made it.
constexpr Duration AskLifetime = std::chrono::seconds(20);

/// Demand must stay low this long, and one instance goes at a time: a lull of a minute in the
/// evening is followed by the presses closing.
constexpr Duration SurplusTime = std::chrono::seconds(120);
constexpr Duration ReleaseInterval = std::chrono::seconds(30);

/// While starts are refused nothing is released that couldn't be bought back.
constexpr Duration RefusalMemory = std::chrono::minutes(10);

constexpr Duration FirstBackoff = std::chrono::seconds(10);
constexpr Duration LongestBackoff = std::chrono::minutes(5);

/// Load: a class that is reclaimed all at once. The more of a service runs on one class, the dearer
/// one more of it counts, so that near equal prices are spread and a bargain is still taken.
constexpr double ConcentrationWeight = 0.5;

/// Another data centre's instances add a hop to each token.
constexpr double RemoteFactor = 1.1;

constexpr double DefaultCostPreference = 0.5;

void takeReport(State &state, const CapacityReport &event)
{
    for (auto &[name, group] : state.capacity.groups) {
        group.running = 0;
        group.starting = 0;
    }
    for (const CapacityReport::Group &told : event.groups) {
        const GroupName name { told.service, told.dataCentre, told.instanceClass };
        CapacityTable::Group &group = state.capacity.groups[name];
        group.running = told.running;
        group.starting = told.starting;
    }
}

/// Starts that now show in the report, or never will, are no longer counted on their own.
void settleAsked(State &state, const std::map<GroupName, std::uint32_t> &before)
{
    for (auto &[name, group] : state.capacity.groups) {
        const auto it = before.find(name);
        const std::uint32_t known = it == before.end() ? 0 : it->second;
        const std::uint32_t shown = group.running + group.starting;
        const std::uint32_t grown = shown > known ? shown - known : 0;
        group.asked -= std::min(group.asked, grown);
        if (state.now - group.askedAt > AskLifetime)
            group.asked = 0;
        if (grown > 0)
            state.capacity.backoffs.erase({ name.dataCentre, name.instanceClass });
    }
}

std::map<GroupName, std::uint32_t> sizes(const State &state)
{
    std::map<GroupName, std::uint32_t> known;
    for (const auto &[name, group] : state.capacity.groups)
        known[name] = group.running + group.starting;
    return known;
}

std::uint32_t countOf(const State &state, const std::string &service)
{
    std::uint32_t count = 0;
    for (const auto &[name, group] : state.capacity.groups)
        count += name.service == service ? group.size() : 0;
    return count;
}

double preferenceOf(const Pool &pool)
{
    double sum = 0;
    double weights = 0;
    for (const auto &[customer, flow] : pool.flows) {
        sum += flow->leaf.weight * flow->leaf.costPreference;
        weights += flow->leaf.weight;
    }
    return weights > 0 ? sum / weights : DefaultCostPreference;
}

std::uint32_t wanted(const Pool &pool, const CapacityReport::Demand &demand, double use)
{
    const settings::ServiceSettings &settings = pool.settings;
    double servers = 0;
    if (demand.servedTokensPerSecondPerServer > 0)
        servers = demand.tokensPerSecond / (use * demand.servedTokensPerSecondPerServer);
    const double slots = std::max(1U, settings.slotsPerServer);
    servers += demand.queued / (slots * RoundsToDrain);
    const double most = std::max(settings.minServers, settings.maxServers);
    const double bounded = std::clamp<double>(std::ceil(servers), settings.minServers, most);
    return static_cast<std::uint32_t>(bounded);
}

bool backsOff(const State &state, const settings::ClassSettings &facts)
{
    const auto it = state.capacity.backoffs.find({ facts.dataCentre, facts.name });
    return it != state.capacity.backoffs.end() && it->second.until > state.now;
}

/// Cost of one more of the class, with what its concentration risks.
double costOf(State &state, const Pool &pool, const settings::ClassSettings &facts)
{
    const double cost = expectedCostPerHour(facts, pool.settings, preferenceOf(pool));
    const GroupName name { pool.service, facts.dataCentre, facts.name };
    const auto it = state.capacity.groups.find(name);
    const double size = it == state.capacity.groups.end() ? 0 : it->second.size();
    const double all = std::max(1U, countOf(state, pool.service));
    const double share = facts.reclaimable ? size / all : 0.0;
    const double distance = facts.dataCentre == state.dataCentre ? 1.0 : RemoteFactor;
    return cost * distance * (1.0 + ConcentrationWeight * share);
}

const settings::ClassSettings *cheapest(State &state, const Pool &pool)
{
    const settings::ClassSettings *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const settings::ClassSettings &facts : state.settings->classes) {
        if (backsOff(state, facts))
            continue;
        const double cost = costOf(state, pool, facts);
        if (cost < bestCost) {
            bestCost = cost;
            best = &facts;
        }
    }
    return best;
}

void start(State &state, const Pool &pool, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < std::min(count, MaxStarts); ++i) {
        const settings::ClassSettings *facts = cheapest(state, pool);
        if (!facts)
            return;
        CapacityTable::Group &group =
            state.capacity.groups[{ pool.service, facts->dataCentre, facts->name }];
        ++group.asked;
        group.askedAt = state.now;
        state.emit(StartInstance { pool.service, facts->dataCentre, facts->name });
    }
}

const settings::ClassSettings *dearest(State &state, const Pool &pool)
{
    const settings::ClassSettings *worst = nullptr;
    double worstCost = -1;
    for (const settings::ClassSettings &facts : state.settings->classes) {
        const auto it = state.capacity.groups.find({ pool.service, facts.dataCentre, facts.name });
        if (it == state.capacity.groups.end() || it->second.running == 0)
            continue;
        const double cost = costOf(state, pool, facts);
        if (cost > worstCost) {
            worstCost = cost;
            worst = &facts;
        }
    }
    return worst;
}

void release(State &state, const Pool &pool, CapacityTable::Service &service)
{
    const bool soon = state.now - service.surplusSince < SurplusTime
        || state.now - service.releasedAt < ReleaseInterval;
    const bool refused =
        state.capacity.refusedAt != Time {} && state.now - state.capacity.refusedAt < RefusalMemory;
    const settings::ClassSettings *facts = dearest(state, pool);
    if (soon || refused || !facts)
        return;
    service.releasedAt = state.now;
    state.emit(ReleaseInstance { pool.service, facts->dataCentre, facts->name });
}

void meet(State &state, const CapacityReport::Demand &demand)
{
    const auto it = state.pools.find(demand.service);
    if (it == state.pools.end() || !it->second.known)
        return;
    const Pool &pool = it->second;
    CapacityTable::Service &service = state.capacity.services[demand.service];
    const std::uint32_t have = countOf(state, demand.service);
    const std::uint32_t needed = wanted(pool, demand, StartAbove);
    const bool surplus = have > wanted(pool, demand, ReleaseBelow);
    if (!surplus)
        service.surplusSince = Time::max();
    else
        service.surplusSince = std::min(service.surplusSince, state.now);
    if (have < needed)
        start(state, pool, needed - have);
    else if (surplus)
        release(state, pool, service);
}

} // namespace

void onCapacityReport(State &state, const CapacityReport &event)
{
    if (!state.settings)
        return;
    const std::map<GroupName, std::uint32_t> before = sizes(state);
    takeReport(state, event);
    settleAsked(state, before);
    for (const CapacityReport::Demand &demand : event.demand)
        meet(state, demand);
}

void onStartRefused(State &state, const StartRefused &event)
{
    CapacityTable &capacity = state.capacity;
    capacity.refusedAt = state.now;
    auto &group = capacity.groups[{ event.service, event.dataCentre, event.instanceClass }];
    group.asked -= std::min(group.asked, 1U);
    CapacityTable::Backoff &backoff = capacity.backoffs[{ event.dataCentre, event.instanceClass }];
    backoff.wait = std::clamp(backoff.wait * 2, FirstBackoff, LongestBackoff);
    backoff.until = state.now + state.jittered(backoff.wait);
}

} // namespace snipestall::policy
