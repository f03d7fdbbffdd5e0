#include "harness/scenario/process_scenario.hpp"
#include "harness/scenario/scenario_context.hpp"
#include "harness/topology_test_base.hpp"

#include <algorithm>
#include <filesystem>

namespace snipestall::harness {
namespace {

std::vector<std::string> allScenarios()
{
    std::vector<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(SNIPESTALL_PROCESS_SCENARIOS))
        names.push_back(entry.path().stem().string());
    std::sort(names.begin(), names.end());
    return names;
}

class ProcessScenarioTest : public TopologyTest, public testing::WithParamInterface<std::string>
{ };

/// Runs every scenario file; each describes its own scenario.
TEST_P(ProcessScenarioTest, KeepsItsExpectations)
{
    const std::string file = std::string(SNIPESTALL_PROCESS_SCENARIOS) + "/" + GetParam() + ".yaml";
    const auto scenario = ProcessScenario::read(readFile(file));
    if (!scenario) {
        for (const auto &fault : scenario.error())
            ADD_FAILURE() << fault.path << ": found " << fault.found
                          << "; allowed: " << fault.allowed;
        return;
    }
    ScenarioContext context(start(scenario->topology));
    for (const auto &failure : runScenario(*scenario, context))
        ADD_FAILURE() << failure;
}

INSTANTIATE_TEST_SUITE_P(Files, ProcessScenarioTest, testing::ValuesIn(allScenarios()),
                         [](const auto &info) { return info.param; });

} // namespace
} // namespace snipestall::harness
