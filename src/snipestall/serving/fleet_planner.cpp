#include "snipestall/serving/fleet_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace snipestall::serving {

const char *toString(FleetEstimate estimate)
{
    static constexpr std::array<const char *, 3> Names { "usual", "demand", "insurance" };
    return Names.at(static_cast<std::size_t>(estimate));
}

FleetPlanner::FleetPlanner(ScalingPolicy policy, const std::map<std::string, int> &initial)
    : m_policy(std::move(policy))
{
    for (const auto &[dataCentre, count] : initial)
        m_dataCentres[dataCentre].initial = count;
}

void FleetPlanner::updatePressure(double fractionOfTarget, SteadyTime now)
{
    if (fractionOfTarget >= ShrinkThreshold || m_lowPressureSince == SteadyTime {})
        m_lowPressureSince = now;
    // The servers ordered last must have started before their effect can be judged.
    const auto settled = m_policy.bootTime + RetryPause;
    if (now - m_scaledAt < settled)
        return;
    // The fleet grows by reclaimable servers; while none are available, the effect of growing could
    // not be judged.
    if (fractionOfTarget > GrowThreshold && !hasShortage()) {
        m_scale = std::min(m_scale * GrowFactor, MaxScale);
        m_scaledAt = now;
        return;
    }
    if (now - m_lowPressureSince >= ShrinkAfter) {
        m_scale = std::max(m_scale * ShrinkFactor, MinScale);
        m_scaledAt = now;
        m_lowPressureSince = now;
    }
}

int FleetPlanner::initialTotal() const
{
    int total = 0;
    for (const auto &[dataCentre, state] : m_dataCentres)
        total += state.initial;
    return total;
}

int FleetPlanner::reclaimableWanted(FleetDemand demand) const
{
    const auto dataCentres = static_cast<double>(std::max<std::size_t>(m_dataCentres.size(), 1));
    const double minTotal = initialTotal() * MinFleetFactor;
    const double total = std::max(demand.servers / TargetUtilisation, minTotal) * m_scale;
    // The other data centres have to carry the demand without any single one of them; if there is
    // only one data centre, it carries all of the demand itself.
    const double others = std::max(dataCentres - 1, 1.0);
    const int each = static_cast<int>(std::ceil(total / others));
    return std::clamp(each, m_policy.minServers, m_policy.maxServers);
}

std::vector<std::string> FleetPlanner::dataCentresByPrice() const
{
    std::vector<std::string> order;
    for (const auto &[dataCentre, state] : m_dataCentres)
        order.push_back(dataCentre);
    const auto priceOf = [this](const std::string &dataCentre) {
        const auto found = m_policy.dataCentrePrices.find(dataCentre);
        return found == m_policy.dataCentrePrices.end() ? 1.0 : found->second;
    };
    std::stable_sort(
        order.begin(), order.end(),
        [&priceOf](const std::string &a, const std::string &b) { return priceOf(a) < priceOf(b); });
    return order;
}

bool FleetPlanner::hasShortage() const
{
    return std::any_of(m_dataCentres.begin(), m_dataCentres.end(),
                       [](const auto &entry) { return entry.second.reclaimable.refused; });
}

int FleetPlanner::insuranceNeeded(const std::map<std::string, FleetCount> &counts, double servers)
{
    int left = 0;
    int largest = 0;
    for (const auto &[dataCentre, count] : counts) {
        left += count.reclaimable;
        largest = std::max(largest, count.reclaimable);
    }
    left -= largest;
    return static_cast<int>(std::ceil(std::max(servers - left, 0.0) / ColdCapacity));
}

int FleetPlanner::onDemandMissing(const std::map<std::string, FleetCount> &counts,
                                  FleetDemand demand)
{
    int reclaimable = 0;
    for (const auto &[dataCentre, count] : counts)
        reclaimable += count.reclaimable;
    // Before the demand has been measured, the number that the operators started with is the best
    // guess. Before the first request no on-demand server is needed while the cheaper ones start.
    int needed = demand.hasRequests ? initialTotal() : 0;
    m_estimate = FleetEstimate::Usual;
    if (demand.servers > 0) {
        m_estimate = FleetEstimate::Demand;
        needed = static_cast<int>(std::ceil(demand.servers / MaxUtilisation));
    }
    const int missing = std::max(needed - reclaimable, 0);
    const int insurance = hasShortage() ? insuranceNeeded(counts, demand.currentServers) : 0;
    if (insurance <= missing)
        return missing;
    m_estimate = FleetEstimate::Insurance;
    return insurance;
}

std::map<std::string, int>
FleetPlanner::onDemandWanted(const std::map<std::string, FleetCount> &counts, FleetDemand demand)
{
    std::map<std::string, int> wanted;
    int missing = onDemandMissing(counts, demand);
    const std::vector<std::string> order = dataCentresByPrice();
    for (const std::string &dataCentre : order)
        wanted[dataCentre] = 0;
    // The servers are distributed evenly, because a data centre may be cut off; the cheaper data
    // centres get the remainder.
    for (bool placed = true; placed && missing > 0;) {
        placed = false;
        for (const std::string &dataCentre : order) {
            const auto found = counts.find(dataCentre);
            const int present = found == counts.end() ? 0 : found->second.reclaimable;
            if (missing == 0 || wanted[dataCentre] + present >= m_policy.maxServers)
                continue;
            ++wanted[dataCentre];
            --missing;
            placed = true;
        }
    }
    return wanted;
}

bool FleetPlanner::isDue(const OrderState &state, int wanted, int present, SteadyTime now) const
{
    const auto waited = now - state.lastOrderAt;
    if (state.refused)
        return waited >= RetryPause;
    if (state.ordered < 0 && wanted < present && m_succeededAt)
        return now - *m_succeededAt >= m_policy.bootTime + RetryPause;
    if (wanted > state.ordered || state.ordered < 0)
        return true;
    // Fewer servers are ordered only after the lower number has lasted, because each change costs a
    // server start.
    if (wanted < state.ordered)
        return waited >= m_policy.bootTime + RetryPause;
    // A reclaim ends the order that it affects, and an order may get lost.
    return present < wanted && waited >= m_policy.bootTime + RetryPause;
}

std::vector<FleetOrder> FleetPlanner::plan(const std::map<std::string, FleetCount> &counts,
                                           FleetDemand demand, SteadyTime now)
{
    std::vector<FleetOrder> orders;
    const int reclaimable = reclaimableWanted(demand);
    const std::map<std::string, int> onDemand = onDemandWanted(counts, demand);
    for (auto &[dataCentre, state] : m_dataCentres) {
        const auto found = counts.find(dataCentre);
        const FleetCount count = found == counts.end() ? FleetCount {} : found->second;
        if (isDue(state.reclaimable, reclaimable, count.reclaimable, now))
            orders.push_back({ dataCentre, reclaimable, true });
        const int wanted = onDemand.at(dataCentre);
        if (isDue(state.onDemand, wanted, count.onDemand, now))
            orders.push_back({ dataCentre, wanted, false });
    }
    return orders;
}

void FleetPlanner::accepted(const FleetOrder &order, SteadyTime now)
{
    OrderState &state = orderStateOf(m_dataCentres[order.dataCentre], order.reclaimable);
    state = { order.count, now, false };
}

void FleetPlanner::refused(const FleetOrder &order, SteadyTime now)
{
    OrderState &state = orderStateOf(m_dataCentres[order.dataCentre], order.reclaimable);
    state.lastOrderAt = now;
    state.refused = true;
}

} // namespace snipestall::serving
