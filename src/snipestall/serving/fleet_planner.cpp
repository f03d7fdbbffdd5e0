#include "snipestall/serving/fleet_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipestall::serving {

FleetPlanner::FleetPlanner(ScalingPolicy policy, std::map<std::string, int> usual)
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
    if (partOfTarget > GrowAbove) {
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

int FleetPlanner::reclaimableWanted(const Place &place) const
{
    const int wanted = static_cast<int>(std::ceil(place.usual * Surplus * m_scale));
    return std::clamp(wanted, m_policy.least, m_policy.most);
}

int FleetPlanner::onDemandWanted(const Place &place, const FleetCount &count) const
{
    const int missing = place.usual - count.reclaimable;
    return std::clamp(missing, 0, std::max(m_policy.most - count.reclaimable, 0));
}

bool FleetPlanner::due(const Kind &kind, int wanted, int present, SteadyTime now) const
{
    const auto waited = now - kind.askedAt;
    if (kind.refused)
        return waited >= RepeatPause;
    if (wanted != kind.ordered)
        return true;
    // A reclaim ends the order that it strikes, and an order may get lost.
    return present < wanted && waited >= m_policy.bootTime + RepeatPause;
}

std::vector<FleetOrder> FleetPlanner::plan(const std::map<std::string, FleetCount> &counts,
                                           SteadyTime now)
{
    std::vector<FleetOrder> orders;
    for (auto &[dataCentre, place] : m_places) {
        const auto found = counts.find(dataCentre);
        const FleetCount count = found == counts.end() ? FleetCount {} : found->second;
        const int reclaimable = reclaimableWanted(place);
        if (due(place.reclaimable, reclaimable, count.reclaimable, now))
            orders.push_back({ dataCentre, reclaimable, true });
        const int onDemand = onDemandWanted(place, count);
        if (due(place.onDemand, onDemand, count.onDemand, now))
            orders.push_back({ dataCentre, onDemand, false });
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
