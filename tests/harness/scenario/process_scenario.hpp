#pragma once

#include "harness/topology_spec.hpp"

#include "snipestall/settings/fault.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::harness {

class ScenarioContext;

/// Returns true once the event for which a step waits has been observed.
using StepCondition = std::function<bool(const ScenarioContext &)>;

/// A step of a scenario: waits for its conditions and then carries out its action.
struct ProcessStep
{
    /// Path of the step in the file, for the error message if its conditions never hold.
    std::string path;
    std::vector<StepCondition> conditions;
    /// The action; if it is empty, the step only waits.
    std::function<void(ScenarioContext &)> action;
};

/// Returns a description of how the expectation failed, or nothing if it holds.
using ProcessExpectation = std::function<std::optional<std::string>(ScenarioContext &)>;

/// A scripted run of real processes. Its steps run one after another, each once its conditions
/// hold; see docs/design/process-scenarios.md.
struct ProcessScenario
{
    TopologySpec topology;
    std::vector<ProcessStep> steps;
    std::vector<ProcessExpectation> expectations;

    /// Parses a scenario. On failure it returns all faults of the text, each with its path.
    static tl::expected<ProcessScenario, std::vector<settings::Fault>> read(std::string_view yaml);
};

/// Runs the steps, waits until every load has ended and returns the expectations that failed.
std::vector<std::string> runScenario(const ProcessScenario &scenario, ScenarioContext &context);

} // namespace snipestall::harness
