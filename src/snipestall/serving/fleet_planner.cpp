#include "snipestall/serving/fleet_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipestall::serving {

FleetPlanner::FleetPlanner(ScalingPolicy policy, std::map<std::string, int> usual)
    : m_policy(std::move(policy))
{
    for (const auto &[dataCentre, count] : usual) {
        Place &place = m_places[dataCentre];
        place.usual = count;
        place.wantedReclaimable = std::clamp(static_cast<int>(std::ceil(count * Surplus)),
                                             m_policy.least, m_policy.most);
    }
}

int FleetPlanner::onDemandWanted(const Place &place, const FleetCount &count) const
{
    // On-demand servers go once the reclaimable ones that replace them serve.
    const int missing = place.usual - count.reclaimable;
    return std::clamp(missing, 0, m_policy.most - place.wantedReclaimable);
}

std::vector<FleetOrder> FleetPlanner::plan(const std::map<std::string, FleetCount> &counts,
                                           SteadyTime now)
{
    std::vector<FleetOrder> orders;
    for (auto &[dataCentre, place] : m_places) {
        const auto found = counts.find(dataCentre);
        const FleetCount count = found == counts.end() ? FleetCount {} : found->second;
        const bool mayAsk = !place.refused || now - place.refusedAt >= RefusedPause;
        // A reclaim ends the order it strikes: what is missing must be asked for again.
        const bool missing = count.reclaimable < place.wantedReclaimable && place.refused;
        if (mayAsk && (place.orderedReclaimable != place.wantedReclaimable || missing))
            orders.push_back({ dataCentre, place.wantedReclaimable, true });
        const int onDemand = onDemandWanted(place, count);
        if (onDemand != place.orderedOnDemand)
            orders.push_back({ dataCentre, onDemand, false });
    }
    return orders;
}

void FleetPlanner::accepted(const FleetOrder &order, SteadyTime now)
{
    Place &place = m_places[order.dataCentre];
    if (!order.reclaimable) {
        place.orderedOnDemand = order.count;
        return;
    }
    place.orderedReclaimable = order.count;
    place.refused = false;
    place.refusedAt = now;
}

void FleetPlanner::refused(const FleetOrder &order, SteadyTime now)
{
    Place &place = m_places[order.dataCentre];
    if (!order.reclaimable)
        return;
    place.refused = true;
    place.refusedAt = now;
}

} // namespace snipestall::serving
