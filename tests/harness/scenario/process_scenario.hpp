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

class Stage;

/// Holds once what a step waits for is seen.
using StepCondition = std::function<bool(const Stage &)>;

struct ProcessStep
{
    /// As in the file, for the message of a step whose time never comes.
    std::string path;
    std::vector<StepCondition> conditions;
    /// Empty: the step only waits.
    std::function<void(Stage &)> act;
};

/// Gives what is wrong, or nothing.
using ProcessExpectation = std::function<std::optional<std::string>(Stage &)>;

/// A scripted run over real processes. Its steps come one after another, each once what it waits
/// for is seen; see docs/design/process-scenarios.md.
struct ProcessScenario
{
    TopologySpec topology;
    std::vector<ProcessStep> steps;
    std::vector<ProcessExpectation> expectations;

    /// Every fault in one go, each with its path.
    static tl::expected<ProcessScenario, std::vector<settings::Fault>> read(std::string_view yaml);
};

/// Runs the steps to the end of every load; what was not as expected.
std::vector<std::string> runScenario(const ProcessScenario &scenario, Stage &stage);

} // namespace snipestall::harness
