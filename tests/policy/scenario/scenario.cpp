#include "policy/scenario/scenario.hpp"

#include "policy/scenario/stage.hpp"

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

/// Longer than the latest deadline of any kind of request, so that a call that is still open then
/// is lost.
constexpr Duration DrainTime = 150s;

} // namespace

ScenarioResult runScenario(const Scenario &scenario, const Deployment &deployment,
                           ClusterOptions options)
{
    options.seed = scenario.seed;
    Cluster cluster(deployment, std::move(options));
    Callers callers(cluster, scenario.seed + 1);
    Stage stage(cluster, callers, scenario.seed + 2);
    for (const auto &step : scenario.steps) {
        cluster.loop().at(step.at, [&step, &stage] { step.action(stage); });
    }
    const Time end { scenario.duration };
    cluster.run(end);
    Load none;
    none.plainLevel = 0;
    callers.setLoad(none);
    const double cost = cluster.ledger().cost;
    cluster.run(end + DrainTime);

    ScenarioResult result { std::move(cluster.ledger()), {} };
    result.ledger.cost = cost;
    for (const auto &expectation : scenario.expectations) {
        if (auto fault = expectation(result.ledger, deployment)) {
            result.faults.push_back(std::move(*fault));
        }
    }
    return result;
}

} // namespace snipestall::policy::harness
