#include "bench/experiment/aims.hpp"

#include "bench/experiment/format.hpp"

#include <algorithm>
#include <functional>

namespace snipestall::policy::experiment {

namespace {

constexpr double MinUrgentShare = 0.99;
constexpr double BaselineShareLimit = 0.90;
constexpr double MaxRecomputedRatio = 0.25;
constexpr double MinGoodputRatio = 0.95;

using Metric = std::function<double(const Measurement &)>;

struct BestBaseline
{
    std::string contestant;
    double value = 0;
};

/// Returns the best baseline, without World. `sign` is 1 if higher values are better and -1 if
/// lower values are.
BestBaseline bestBaseline(const Results &results, const std::string &deployment,
                          const std::string &condition, double sign, const Metric &metric)
{
    BestBaseline best;
    const auto names = results.contestants();
    for (std::size_t i = 1; i < names.size(); ++i) {
        const double candidate = metric(results.measurementOf(deployment, condition, names[i]));
        if (best.contestant.empty() || sign * candidate > sign * best.value) {
            best = { names[i], candidate };
        }
    }
    return best;
}

Aim urgentInTarget(const Results &results, const std::string &deployment,
                   const std::string &condition)
{
    const Metric share = [](const Measurement &measurement) {
        return measurement.shareInTarget("urgent");
    };
    const auto best = bestBaseline(results, deployment, condition, 1, share);
    const double worldShare =
        share(results.measurementOf(deployment, condition, results.contestants().front()));
    Aim aim { deployment, "urgent >= 99% in target, " + condition, "",
              worldShare >= MinUrgentShare };
    aim.measured =
        percent(worldShare) + " against " + percent(best.value) + " (" + best.contestant + ")";
    if (best.value >= BaselineShareLimit) {
        aim.measured += "; the best baseline is not under 90% here";
    }
    return aim;
}

Aim recomputedAfterWave(const Results &results, const std::string &deployment)
{
    const Metric recomputed = [](const Measurement &measurement) {
        return static_cast<double>(measurement.recomputed());
    };
    const auto best = bestBaseline(results, deployment, ReclaimWave, -1, recomputed);
    const double worldTokens =
        recomputed(results.measurementOf(deployment, ReclaimWave, results.contestants().front()));
    Aim aim { deployment, "tokens recomputed after a wave <= 25% of the best baseline's", "",
              worldTokens <= MaxRecomputedRatio * best.value };
    const auto &measurement =
        results.measurementOf(deployment, ReclaimWave, results.contestants().front());
    aim.measured = thousands(worldTokens) + " against " + thousands(best.value) + " ("
        + best.contestant + "); after losses alone "
        + thousands(static_cast<double>(measurement.lostTokens));
    return aim;
}

Aim goodputUnderOverload(const Results &results, const std::string &deployment)
{
    const auto world = results.contestants().front();
    const double ratio = results.measurementOf(deployment, Overload, world).goodput
        / results.measurementOf(deployment, FullLoad, world).goodput;
    return { deployment, "goodput at 150% load >= 95% of that at 100%", percent(ratio),
             ratio >= MinGoodputRatio };
}

Aim costAtTarget(const Results &results, const std::string &deployment)
{
    Aim aim { deployment, "cost at the target below every baseline", "", true };
    double worldCost = 0;
    for (const auto &fleet : results.smallestFleets) {
        if (fleet.deployment != deployment) {
            continue;
        }
        const bool isWorld = fleet.contestant == results.contestants().front();
        worldCost = isWorld ? fleet.costPerHour : worldCost;
        const bool isMoreExpensive =
            fleet.servers == 0 || (worldCost > 0 && worldCost < fleet.costPerHour);
        aim.isMet = aim.isMet && worldCost > 0 && (isWorld || isMoreExpensive);
        aim.measured += (aim.measured.empty() ? "" : ", ") + fleet.contestant + " "
            + (fleet.servers == 0 ? "never in target" : decimal(fleet.costPerHour));
    }
    return aim;
}

} // namespace

std::vector<Aim> checkAims(const Results &results)
{
    std::vector<Aim> aims;
    for (const auto &deployment : results.deployments()) {
        for (const auto &condition : results.conditions) {
            aims.push_back(urgentInTarget(results, deployment, condition.name));
        }
        aims.push_back(recomputedAfterWave(results, deployment));
        aims.push_back(goodputUnderOverload(results, deployment));
        if (!results.smallestFleets.empty()) {
            aims.push_back(costAtTarget(results, deployment));
        }
    }
    return aims;
}

} // namespace snipestall::policy::experiment
