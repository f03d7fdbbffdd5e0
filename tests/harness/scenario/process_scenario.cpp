#include "harness/scenario/process_scenario.hpp"

#include "harness/scenario/act_reader.hpp"
#include "harness/scenario/check_reader.hpp"
#include "harness/scenario/condition_reader.hpp"
#include "harness/scenario/stage.hpp"
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
    step.act = readAct(fields, faults);
    fields.rejectOthers();
    return step;
}

bool holds(const ProcessStep &step, const Stage &stage)
{
    return std::all_of(step.conditions.begin(), step.conditions.end(),
                       [&stage](const auto &condition) { return condition(stage); });
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
        faults.push_back({ "", error.what(), "YAML of the form in the design note" });
    }
    if (!faults.empty())
        return tl::unexpected<Faults>(std::move(faults));
    return scenario;
}

std::vector<std::string> runScenario(const ProcessScenario &scenario, Stage &stage)
{
    for (const auto &step : scenario.steps) {
        if (!waitUntil([&] { return holds(step, stage); }))
            return { step.path + ": what it waits for was never seen" };
        if (step.act)
            step.act(stage);
    }
    std::vector<std::string> wrong;
    stage.reports();
    for (const auto &expectation : scenario.expectations) {
        auto fault = expectation(stage);
        if (fault)
            wrong.push_back(std::move(*fault));
    }
    return wrong;
}

} // namespace snipestall::harness
