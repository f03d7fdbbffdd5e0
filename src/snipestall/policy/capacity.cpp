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

/// Shares of a server's throughput that demand may use. The rest covers bursts until a new instance
/// is up. Instances are released only below a lower share, so that a fluctuating demand doesn't
/// cause repeated starts and releases.
constexpr double StartUtilization = 0.75;
constexpr double ReleaseUtilization = 0.60;

/// Number of times that all slots may be reused until the queued work is done.
constexpr double DrainRounds = 2.0;

/// Limits the starts requested at once, as after a wave that reclaims half of the pool, because
/// each start loads its model from a weight store with a limited rate.
constexpr std::uint32_t MaxStartsPerReport = 4;

/// A start that no report shows after this time was lost together with the steward that should have
/// carried it out.
constexpr Duration RequestedStartLifetime = std::chrono::seconds(20);

/// Demand must stay low for `MinSurplusTime`, and one instance is released per `ReleaseInterval`,
/// because a lull of a minute in the evening may precede the peak before a newsroom's presses
/// close.
constexpr Duration MinSurplusTime = std::chrono::seconds(120);
constexpr Duration ReleaseInterval = std::chrono::seconds(30);

/// No instance is released for this time after a refused start, because it might not be possible to
/// buy it back.
constexpr Duration ReleaseHoldAfterRefusal = std::chrono::minutes(10);

constexpr Duration InitialBackoff = std::chrono::seconds(10);
constexpr Duration MaxBackoff = std::chrono::minutes(5);

/// Limits the loss when a class is reclaimed all at once: the larger the share of a service that
/// runs on one class, the more another instance of that class is assumed to cost. Classes of nearly
/// equal prices are mixed, while a much cheaper class is still preferred.
constexpr double ConcentrationWeight = 0.5;

/// Instances of another data centre add a hop to each token.
constexpr double RemoteCostFactor = 1.1;

constexpr double DefaultCostPreference = 0.5;

void applyReport(State &state, const CapacityReport &event)
{
    for (auto &[name, group] : state.capacity.groups) {
        group.running = 0;
        group.starting = 0;
    }
    for (const CapacityReport::Group &reported : event.groups) {
        const GroupName name { reported.service, reported.dataCentre, reported.instanceClass };
        CapacityTable::Group &group = state.capacity.groups[name];
        group.running = reported.running;
        group.starting = reported.starting;
    }
}

/// Stops counting requested starts that the report now shows, or that no report will ever show.
void settleRequestedStarts(State &state, const std::map<GroupName, std::uint32_t> &before)
{
    for (auto &[name, group] : state.capacity.groups) {
        const auto it = before.find(name);
        const std::uint32_t previous = it == before.end() ? 0 : it->second;
        const std::uint32_t current = group.running + group.starting;
        const std::uint32_t growth = current > previous ? current - previous : 0;
        group.requestedStarts -= std::min(group.requestedStarts, growth);
        if (state.now - group.requestedAt > RequestedStartLifetime)
            group.requestedStarts = 0;
        if (growth > 0)
            state.capacity.backoffs.erase({ name.dataCentre, name.instanceClass });
    }
}

std::map<GroupName, std::uint32_t> reportedSizes(const State &state)
{
    std::map<GroupName, std::uint32_t> known;
    for (const auto &[name, group] : state.capacity.groups)
        known[name] = group.running + group.starting;
    return known;
}

std::uint32_t instanceCount(const State &state, const std::string &service)
{
    std::uint32_t count = 0;
    for (const auto &[name, group] : state.capacity.groups)
        count += name.service == service ? group.size() : 0;
    return count;
}

double averageCostPreference(const Pool &pool)
{
    double sum = 0;
    double weights = 0;
    for (const auto &[customer, flow] : pool.flows) {
        sum += flow->leaf.weight * flow->leaf.costPreference;
        weights += flow->leaf.weight;
    }
    return weights > 0 ? sum / weights : DefaultCostPreference;
}

std::uint32_t requiredServers(const Pool &pool, const CapacityReport::Demand &demand,
                              double utilization)
{
    const settings::ServiceSettings &settings = pool.settings;
    double servers = 0;
    if (demand.servedTokensPerSecondPerServer > 0)
        servers = demand.tokensPerSecond / (utilization * demand.servedTokensPerSecondPerServer);
    const double slots = std::max(1U, settings.slotsPerServer);
    servers += demand.queued / (slots * DrainRounds);
    const double maxServers = std::max(settings.minServers, settings.maxServers);
    const double bounded = std::clamp<double>(std::ceil(servers), settings.minServers, maxServers);
    return static_cast<std::uint32_t>(bounded);
}

bool isBackingOff(const State &state, const settings::ClassSettings &classSettings)
{
    const auto it = state.capacity.backoffs.find({ classSettings.dataCentre, classSettings.name });
    return it != state.capacity.backoffs.end() && it->second.until > state.now;
}

/// Cost of one more instance of the class, including the risk of concentrating the service on it.
double marginalCost(State &state, const Pool &pool, const settings::ClassSettings &classSettings)
{
    const double cost =
        expectedCostPerHour(classSettings, pool.settings, averageCostPreference(pool));
    const GroupName name { pool.service, classSettings.dataCentre, classSettings.name };
    const auto it = state.capacity.groups.find(name);
    const double size = it == state.capacity.groups.end() ? 0 : it->second.size();
    const double total = std::max(1U, instanceCount(state, pool.service));
    const double share = classSettings.reclaimable ? size / total : 0.0;
    const double distanceFactor =
        classSettings.dataCentre == state.dataCentre ? 1.0 : RemoteCostFactor;
    return cost * distanceFactor * (1.0 + ConcentrationWeight * share);
}

const settings::ClassSettings *cheapestClass(State &state, const Pool &pool)
{
    const settings::ClassSettings *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const settings::ClassSettings &classSettings : state.settings->classes) {
        if (isBackingOff(state, classSettings))
            continue;
        const double cost = marginalCost(state, pool, classSettings);
        if (cost < bestCost) {
            bestCost = cost;
            best = &classSettings;
        }
    }
    return best;
}

void startInstances(State &state, const Pool &pool, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < std::min(count, MaxStartsPerReport); ++i) {
        const settings::ClassSettings *classSettings = cheapestClass(state, pool);
        if (!classSettings)
            return;
        CapacityTable::Group &group =
            state.capacity.groups[{ pool.service, classSettings->dataCentre, classSettings->name }];
        ++group.requestedStarts;
        group.requestedAt = state.now;
        state.emit(StartInstance { pool.service, classSettings->dataCentre, classSettings->name });
    }
}

const settings::ClassSettings *costliestClass(State &state, const Pool &pool)
{
    const settings::ClassSettings *worst = nullptr;
    double worstCost = -1;
    for (const settings::ClassSettings &classSettings : state.settings->classes) {
        const auto it = state.capacity.groups.find(
            { pool.service, classSettings.dataCentre, classSettings.name });
        if (it == state.capacity.groups.end() || it->second.running == 0)
            continue;
        const double cost = marginalCost(state, pool, classSettings);
        if (cost > worstCost) {
            worstCost = cost;
            worst = &classSettings;
        }
    }
    return worst;
}

void releaseInstance(State &state, const Pool &pool, CapacityTable::Service &service)
{
    const bool tooSoon = state.now - service.surplusSince < MinSurplusTime
        || state.now - service.releasedAt < ReleaseInterval;
    const bool refused = state.capacity.refusedAt != Time {}
        && state.now - state.capacity.refusedAt < ReleaseHoldAfterRefusal;
    const settings::ClassSettings *classSettings = costliestClass(state, pool);
    if (tooSoon || refused || !classSettings)
        return;
    service.releasedAt = state.now;
    state.emit(ReleaseInstance { pool.service, classSettings->dataCentre, classSettings->name });
}

void adjustCapacity(State &state, const CapacityReport::Demand &demand)
{
    const auto it = state.pools.find(demand.service);
    if (it == state.pools.end() || !it->second.configured)
        return;
    const Pool &pool = it->second;
    CapacityTable::Service &service = state.capacity.services[demand.service];
    const std::uint32_t available = instanceCount(state, demand.service);
    const std::uint32_t needed = requiredServers(pool, demand, StartUtilization);
    const bool surplus = available > requiredServers(pool, demand, ReleaseUtilization);
    if (!surplus)
        service.surplusSince = Time::max();
    else
        service.surplusSince = std::min(service.surplusSince, state.now);
    if (available < needed)
        startInstances(state, pool, needed - available);
    else if (surplus)
        releaseInstance(state, pool, service);
}

} // namespace

void onCapacityReport(State &state, const CapacityReport &event)
{
    if (!state.settings)
        return;
    const std::map<GroupName, std::uint32_t> before = reportedSizes(state);
    applyReport(state, event);
    settleRequestedStarts(state, before);
    for (const CapacityReport::Demand &demand : event.demand)
        adjustCapacity(state, demand);
}

void onStartRefused(State &state, const StartRefused &event)
{
    CapacityTable &capacity = state.capacity;
    capacity.refusedAt = state.now;
    auto &group = capacity.groups[{ event.service, event.dataCentre, event.instanceClass }];
    group.requestedStarts -= std::min(group.requestedStarts, 1U);
    CapacityTable::Backoff &backoff = capacity.backoffs[{ event.dataCentre, event.instanceClass }];
    backoff.wait = std::clamp(backoff.wait * 2, InitialBackoff, MaxBackoff);
    backoff.until = state.now + state.jittered(backoff.wait);
}

} // namespace snipestall::policy
