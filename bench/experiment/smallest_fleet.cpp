#include "bench/experiment/smallest_fleet.hpp"

#include "bench/experiment/condition.hpp"
#include "bench/experiment/measurement.hpp"

#include <algorithm>

namespace snipestall::policy::experiment {

namespace {

/// Load as a fraction of the capacity of the whole fleet. It stays the same for smaller fleets.
constexpr double LoadLevel = 0.5;
/// A class is in target if at least 95 in 100 of its requests are.
constexpr double MinShareInTarget = 0.95;

bool keepsTarget(const Measurement &measurement)
{
    return std::ranges::all_of(measurement.classes, [](const auto &entry) {
        return entry.second.shareInTarget() >= MinShareInTarget;
    });
}

/// Removes a server from the largest group of the model service, so that the groups of the data
/// centres stay about equally large.
void removeServer(harness::Deployment &deployment)
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
    const auto condition = steadyLoad("smallest fleet", LoadLevel);
    SmallestFleet best { deployment.name, contestant.name, 0, 0 };
    harness::Deployment candidate = deployment;
    while (candidate.servers(candidate.modelService) > 0
           && keepsTarget(measure(candidate, condition, contestant, seeds))) {
        best.servers = candidate.servers(candidate.modelService);
        best.costPerHour = costPerHour(candidate);
        removeServer(candidate);
    }
    return best;
}

} // namespace snipestall::policy::experiment
