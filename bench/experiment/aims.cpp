#include "bench/experiment/aims.hpp"

#include "bench/experiment/format.hpp"

#include <algorithm>
#include <functional>

namespace snipestall::policy::experiment {

namespace {

constexpr double UrgentAim = 0.99;
constexpr double BaselineBelow = 0.90;
constexpr double RecomputedAim = 0.25;
constexpr double GoodputAim = 0.95;

using Value = std::function<double(const Measurement &)>;

struct Best
{
    std::string contestant;
    double value = 0;
};

/// Of the baselines alone; `sign` is 1 where more is better, -1 where less is.
Best bestBaseline(const Results &results, const std::string &deployment,
                  const std::string &condition, double sign, const Value &value)
{
    Best best;
    const auto names = results.contestants();
    for (std::size_t i = 1; i < names.size(); ++i) {
        const double found = value(results.of(deployment, condition, names[i]));
        if (best.contestant.empty() || sign * found > sign * best.value) {
            best = { names[i], found };
        }
    }
    return best;
}

Aim urgentInTarget(const Results &results, const std::string &deployment,
                   const std::string &condition)
{
    const Value share = [](const Measurement &found) { return found.share("urgent"); };
    const auto best = bestBaseline(results, deployment, condition, 1, share);
    const double own = share(results.of(deployment, condition, results.contestants().front()));
    Aim aim { deployment, "urgent >= 99% in target, " + condition, "", own >= UrgentAim };
    aim.found = percent(own) + " against " + percent(best.value) + " (" + best.contestant + ")";
    if (best.value >= BaselineBelow) {
        aim.found += "; the best baseline is not under 90% here";
    }
    return aim;
}

Aim recomputedAfterWave(const Results &results, const std::string &deployment)
{
    const Value recomputed = [](const Measurement &found) {
        return static_cast<double>(found.recomputed());
    };
    const auto best = bestBaseline(results, deployment, Wave, -1, recomputed);
    const double own = recomputed(results.of(deployment, Wave, results.contestants().front()));
    Aim aim { deployment, "tokens recomputed after a wave <= 25% of the best baseline's", "",
              own <= RecomputedAim * best.value };
    const auto &found = results.of(deployment, Wave, results.contestants().front());
    aim.found = thousands(own) + " against " + thousands(best.value) + " (" + best.contestant
        + "); after losses alone " + thousands(static_cast<double>(found.lostTokens));
    return aim;
}

Aim goodputUnderOverload(const Results &results, const std::string &deployment)
{
    const auto own = results.contestants().front();
    const double part = results.of(deployment, Overload, own).goodput
        / results.of(deployment, FullLoad, own).goodput;
    return { deployment, "goodput at 150% load >= 95% of that at 100%", percent(part),
             part >= GoodputAim };
}

Aim costAtTarget(const Results &results, const std::string &deployment)
{
    Aim aim { deployment, "cost at the target below every baseline", "", true };
    double own = 0;
    for (const auto &fleet : results.smallestFleets) {
        if (fleet.deployment != deployment) {
            continue;
        }
        const bool isOwn = fleet.contestant == results.contestants().front();
        own = isOwn ? fleet.costPerHour : own;
        const bool isBeaten = fleet.servers == 0 || (own > 0 && own < fleet.costPerHour);
        aim.isMet = aim.isMet && own > 0 && (isOwn || isBeaten);
        aim.found += (aim.found.empty() ? "" : ", ") + fleet.contestant + " "
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
