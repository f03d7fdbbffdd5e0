#include "harness/scenario/process_scenario.hpp"

#include "harness/scenario/action_reader.hpp"
#include "harness/scenario/check_reader.hpp"
#include "harness/scenario/condition_reader.hpp"
#include "harness/scenario/scenario_context.hpp"
#include "harness/scenario/topology_reader.hpp"
#include "harness/wait_until.hpp"

#include <algorithm>
#include <stdexcept>

namespace snipestall::harness {

using policy::harness::YamlFields;

namespace {

ProcessStep readStep(const YAML::Node &node, const std::string &path, Faults &faults)
{
    YamlFields fields(node, path, faults);
    ProcessStep step;
    step.path = path;
    step.conditions = readConditions(fields, faults);
    step.action = readAction(fields, faults);
    fields.rejectOthers();
    return step;
}

bool holds(const ProcessStep &step, const ScenarioContext &context)
{
    return std::all_of(step.conditions.begin(), step.conditions.end(),
                       [&context](const auto &condition) { return condition(context); });
}

} // namespace

tl::expected<ProcessScenario, Faults> ProcessScenario::read(std::string_view yaml)
{
    Faults faults;
    ProcessScenario scenario;
    try {
        const YAML::Node root = YAML::Load(std::string(yaml));
        YamlFields fields(root, "", faults);
        scenario.topology = readTopology(fields.child("topology"), "topology", faults);
        const YAML::Node steps = fields.child("steps");
        for (std::size_t i = 0; i < steps.size(); ++i)
            scenario.steps.push_back(readStep(steps[i], "steps/" + std::to_string(i), faults));
        scenario.expectations = readChecks(fields.child("expect"), "expect", faults);
        fields.rejectOthers();
    } catch (const YAML::Exception &error) {
        faults.push_back(
            { "", error.what(), "YAML as described in docs/design/process-scenarios.md" });
    }
    if (!faults.empty())
        return tl::unexpected<Faults>(std::move(faults));
    return scenario;
}

std::vector<std::string> runScenario(const ProcessScenario &scenario, ScenarioContext &context)
{
    for (const auto &step : scenario.steps) {
        if (!waitUntil([&] { return holds(step, context); }))
            return { step.path + ": its conditions never held" };
        if (step.action)
            step.action(context);
    }
    std::vector<std::string> failures;
    context.reports();
    for (const auto &expectation : scenario.expectations) {
        auto fault = expectation(context);
        if (fault)
            failures.push_back(std::move(*fault));
    }
    return failures;
}

} // namespace snipestall::harness
