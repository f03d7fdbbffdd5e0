#include "policy/harness/deployment.hpp"
#include "policy/scenario/scenario_reader.hpp"

#include "snipestall/policy/world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace snipestall::policy::harness {
namespace {

struct ScenarioRun
{
    std::filesystem::path file;
    std::string deployment;

    friend std::ostream &operator<<(std::ostream &out, const ScenarioRun &run)
    {
        return out << run.file.stem().string() << " on " << run.deployment;
    }
};

tl::expected<Scenario, Faults> read(const std::filesystem::path &file)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return readScenario(file.stem().string(), text.str());
}

std::vector<ScenarioRun> allRuns()
{
    std::vector<ScenarioRun> runs;
    for (const auto &entry : std::filesystem::directory_iterator(SNIPESTALL_POLICY_SCENARIOS)) {
        const auto scenario = read(entry.path());
        const auto names =
            scenario ? scenario->deployments : std::vector<std::string> { "unreadable" };
        for (const auto &name : names) {
            runs.push_back({ entry.path(), name });
        }
    }
    std::ranges::sort(
        runs, {}, [](const ScenarioRun &run) { return run.file.stem().string() + run.deployment; });
    return runs;
}

class PolicyScenario : public testing::TestWithParam<ScenarioRun>
{ };

/// Each scenario file describes the failure that it guards against.
TEST_P(PolicyScenario, KeepsItsExpectations)
{
    const auto scenario = read(GetParam().file);
    if (!scenario) {
        for (const auto &fault : scenario.error()) {
            ADD_FAILURE() << fault.path << ": found " << fault.found
                          << "; allowed: " << fault.allowed;
        }
        return;
    }
    ClusterOptions options;
    options.factory = [](const std::string &dataCentre, std::uint64_t seed) {
        return World::create(dataCentre, seed);
    };
    const auto result =
        runScenario(*scenario, *makeDeployment(GetParam().deployment), std::move(options));
    for (const auto &fault : result.faults) {
        ADD_FAILURE() << "seed " << scenario->seed << ": " << fault;
    }
}

INSTANTIATE_TEST_SUITE_P(All, PolicyScenario, testing::ValuesIn(allRuns()),
                         [](const testing::TestParamInfo<ScenarioRun> &run) {
                             return run.param.file.stem().string() + "_" + run.param.deployment;
                         });

} // namespace
} // namespace snipestall::policy::harness
