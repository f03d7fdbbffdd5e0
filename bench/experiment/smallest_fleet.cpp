#include "bench/experiment/smallest_fleet.hpp"

#include "bench/experiment/condition.hpp"
#include "bench/experiment/measurement.hpp"

#include <algorithm>

namespace snipestall::policy::experiment {

namespace {

/// The load stays at this part of what the whole fleet can serve.
constexpr double LoadLevel = 0.5;
/// "For 95 in 100".
constexpr double LeastShare = 0.95;

bool keepsTarget(const Measurement &found)
{
    return std::ranges::all_of(
        found.classes, [](const auto &entry) { return entry.second.share() >= LeastShare; });
}

/// Takes the server from the largest group of the model service, so that the data centres stay
/// alike.
void removeOne(harness::Deployment &deployment)
{
    harness::ServerGroup *largest = nullptr;
    for (auto &group : deployment.groups) {
        const bool isModel = group.service == deployment.modelService;
        if (isModel && (!largest || group.count > largest->count)) {
            largest = &group;
        }
    }
    --largest->count;
}

double costPerHour(const harness::Deployment &deployment)
{
    double total = 0;
    for (const auto &group : deployment.groups) {
        const auto &classes = deployment.settings.classes;
        const auto found = std::ranges::find_if(classes, [&group](const auto &entry) {
            return entry.name == group.instanceClass && entry.dataCentre == group.dataCentre;
        });
        const bool isModel = group.service == deployment.modelService;
        total += isModel ? group.count * found->pricePerHour : 0;
    }
    return total;
}

} // namespace

SmallestFleet findSmallestFleet(const harness::Deployment &deployment, const Contestant &contestant,
                                std::span<const std::uint64_t> seeds)
{
    const auto condition = steady("smallest fleet", LoadLevel);
    SmallestFleet best { deployment.name, contestant.name, 0, 0 };
    harness::Deployment candidate = deployment;
    while (candidate.servers(candidate.modelService) > 0
           && keepsTarget(measure(candidate, condition, contestant, seeds))) {
        best.servers = candidate.servers(candidate.modelService);
        best.costPerHour = costPerHour(candidate);
        removeOne(candidate);
    }
    return best;
}

} // namespace snipestall::policy::experiment
