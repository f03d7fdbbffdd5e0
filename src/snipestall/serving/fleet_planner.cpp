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

FleetPlanner::FleetPlanner(ScalingPolicy policy, const std::map<std::string, int> &usual)
    : m_policy(std::move(policy))
{
    for (const auto &[dataCentre, count] : usual)
        m_places[dataCentre].usual = count;
}

void FleetPlanner::pressure(double partOfTarget, SteadyTime now)
{
    if (partOfTarget >= ShrinkBelow || m_calmSince == SteadyTime {})
        m_calmSince = now;
    // What was ordered last must have started before its effect can be judged.
    const auto settled = m_policy.bootTime + RepeatPause;
    if (now - m_scaledAt < settled)
        return;
    // Reclaimable servers are what grows, and none are to be had: the effect could not be judged.
    if (partOfTarget > GrowAbove && !shortage()) {
        m_scale = std::min(m_scale * GrowBy, MostScale);
        m_scaledAt = now;
        return;
    }
    if (now - m_calmSince >= ShrinkAfter) {
        m_scale = std::max(m_scale * ShrinkBy, LeastScale);
        m_scaledAt = now;
        m_calmSince = now;
    }
}

int FleetPlanner::usualTotal() const
{
    int total = 0;
    for (const auto &[dataCentre, place] : m_places)
        total += place.usual;
    return total;
}

int FleetPlanner::reclaimableWanted(FleetDemand demand) const
{
    const auto dataCentres = static_cast<double>(std::max<std::size_t>(m_places.size(), 1));
    const double least = usualTotal() * LeastOfUsual;
    const double total = std::max(demand.servers / ComfortableUse, least) * m_scale;
    // The others carry the demand without one data centre; alone, it can only have a server more.
    const double others = std::max(dataCentres - 1, 1.0);
    const int each = static_cast<int>(std::ceil(total / others));
    return std::clamp(each, m_policy.least, m_policy.most);
}

std::vector<std::string> FleetPlanner::cheapestFirst() const
{
    std::vector<std::string> order;
    for (const auto &[dataCentre, place] : m_places)
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

bool FleetPlanner::shortage() const
{
    return std::any_of(m_places.begin(), m_places.end(),
                       [](const auto &entry) { return entry.second.reclaimable.refused; });
}

int FleetPlanner::insured(const std::map<std::string, FleetCount> &counts, double servers)
{
    int left = 0;
    int largest = 0;
    for (const auto &[dataCentre, count] : counts) {
        left += count.reclaimable;
        largest = std::max(largest, count.reclaimable);
    }
    left -= largest;
    return static_cast<int>(std::ceil(std::max(servers - left, 0.0) / ColdUse));
}

int FleetPlanner::onDemandMissing(const std::map<std::string, FleetCount> &counts,
                                  FleetDemand demand)
{
    int reclaimable = 0;
    for (const auto &[dataCentre, count] : counts)
        reclaimable += count.reclaimable;
    // Before the demand has been measured, what the operators started with is the best guess;
    // before the first request nothing needs to run while cheaper servers start.
    int needed = demand.any ? usualTotal() : 0;
    m_estimate = FleetEstimate::Usual;
    if (demand.servers > 0) {
        m_estimate = FleetEstimate::Demand;
        needed = static_cast<int>(std::ceil(demand.servers / CrowdedUse));
    }
    const int missing = std::max(needed - reclaimable, 0);
    const int insurance = shortage() ? insured(counts, demand.serversNow) : 0;
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
    const std::vector<std::string> order = cheapestFirst();
    for (const std::string &dataCentre : order)
        wanted[dataCentre] = 0;
    // Evenly, since a data centre may be cut off, the cheaper ones first where it doesn't divide.
    for (bool placed = true; placed && missing > 0;) {
        placed = false;
        for (const std::string &dataCentre : order) {
            const auto found = counts.find(dataCentre);
            const int present = found == counts.end() ? 0 : found->second.reclaimable;
            if (missing == 0 || wanted[dataCentre] + present >= m_policy.most)
                continue;
            ++wanted[dataCentre];
            --missing;
            placed = true;
        }
    }
    return wanted;
}

bool FleetPlanner::due(const Kind &kind, int wanted, int present, SteadyTime now) const
{
    const auto waited = now - kind.askedAt;
    if (kind.refused)
        return waited >= RepeatPause;
    if (wanted > kind.ordered || kind.ordered < 0)
        return true;
    // Fewer are ordered once the lower figure has lasted: each change costs a start.
    if (wanted < kind.ordered)
        return waited >= m_policy.bootTime + RepeatPause;
    // A reclaim ends the order that it strikes, and an order may get lost.
    return present < wanted && waited >= m_policy.bootTime + RepeatPause;
}

std::vector<FleetOrder> FleetPlanner::plan(const std::map<std::string, FleetCount> &counts,
                                           FleetDemand demand, SteadyTime now)
{
    std::vector<FleetOrder> orders;
    const int reclaimable = reclaimableWanted(demand);
    const std::map<std::string, int> onDemand = onDemandWanted(counts, demand);
    for (auto &[dataCentre, place] : m_places) {
        const auto found = counts.find(dataCentre);
        const FleetCount count = found == counts.end() ? FleetCount {} : found->second;
        if (due(place.reclaimable, reclaimable, count.reclaimable, now))
            orders.push_back({ dataCentre, reclaimable, true });
        const int wanted = onDemand.at(dataCentre);
        if (due(place.onDemand, wanted, count.onDemand, now))
            orders.push_back({ dataCentre, wanted, false });
    }
    return orders;
}

void FleetPlanner::accepted(const FleetOrder &order, SteadyTime now)
{
    Kind &kind = kindOf(m_places[order.dataCentre], order.reclaimable);
    kind = { order.count, now, false };
}

void FleetPlanner::refused(const FleetOrder &order, SteadyTime now)
{
    Kind &kind = kindOf(m_places[order.dataCentre], order.reclaimable);
    kind.askedAt = now;
    kind.refused = true;
}

} // namespace snipestall::serving
