#pragma once

#include "policy/harness/cluster_options.hpp"
#include "policy/harness/ledger.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

class Stage;
struct Deployment;

struct ScenarioStep
{
    Time at {};
    std::function<void(Stage &)> action;
};

/// Returns a description of the violation, or nothing if the expectation is met.
using Expectation = std::function<std::optional<std::string>(const Ledger &, const Deployment &)>;

/// A scripted simulation run without sockets.
struct Scenario
{
    std::string name;
    std::vector<std::string> deployments;
    std::uint64_t seed = 1;
    /// Time after which no new requests are submitted; requests in progress may still end.
    Duration duration {};
    std::vector<ScenarioStep> steps;
    std::vector<Expectation> expectations;
};

struct ScenarioResult
{
    Ledger ledger;
    std::vector<std::string> faults;
};

ScenarioResult runScenario(const Scenario &scenario, const Deployment &deployment,
                           ClusterOptions options);

} // namespace snipestall::policy::harness
