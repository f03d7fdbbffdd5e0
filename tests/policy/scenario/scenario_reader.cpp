#include "policy/scenario/scenario_reader.hpp"

#include "policy/harness/deployment.hpp"
#include "policy/scenario/expectation_reader.hpp"
#include "policy/scenario/step_reader.hpp"

#include <utility>

namespace snipestall::policy::harness {

namespace {

YAML::Node parse(std::string_view yaml, Faults &faults)
{
    try {
        return YAML::Load(std::string(yaml));
    } catch (const YAML::Exception &error) {
        faults.push_back({ "", error.what(), "a YAML document" });
        return YAML::Node(YAML::NodeType::Map);
    }
}

void readDeployments(YamlFields &fields, Scenario &scenario)
{
    scenario.deployments = fields.texts("deployments");
    for (const auto &name : scenario.deployments) {
        if (!makeDeployment(name)) {
            fields.faultAt("deployments", name, "karadeniz, midlands");
        }
    }
}

} // namespace

tl::expected<Scenario, Faults> readScenario(std::string name, std::string_view yaml)
{
    Faults faults;
    YamlFields fields(parse(yaml, faults), "", faults);
    Scenario scenario;
    scenario.name = std::move(name);
    readDeployments(fields, scenario);
    scenario.seed = static_cast<std::uint64_t>(fields.number("seed"));
    scenario.duration = fields.duration("duration");
    scenario.steps = readSteps(fields.child("steps"), fields.pathOf("steps"), faults);
    scenario.expectations =
        readExpectations(fields.child("expect"), fields.pathOf("expect"), faults);
    fields.rejectOthers();
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return scenario;
}

} // namespace snipestall::policy::harness
