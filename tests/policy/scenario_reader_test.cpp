#include "policy/scenario/scenario_reader.hpp"

#include <gtest/gtest.h>

namespace snipestall::policy::harness {
namespace {

TEST(ScenarioReader, ReportsEveryFaultWithItsPath)
{
    const auto scenario = readScenario("faulty", R"(
deployments: [atlantis]
seed: many
duration: 10
steps:
  - at: 1s
    load: { levle: 50% }
  - at: 2s
    explode: {}
expect:
  windows: [{ in_target: { urgent: high } }]
)");
    ASSERT_FALSE(scenario);
    std::vector<std::string> paths;
    for (const auto &fault : scenario.error()) {
        paths.push_back(fault.path);
    }
    const std::vector<std::string> expected {
        "deployments",        "seed",    "duration",        "steps/0/load/level",
        "steps/0/load/levle", "steps/1", "steps/1/explode", "expect/windows/0/in_target/urgent",
    };
    EXPECT_EQ(paths, expected);
}

TEST(ScenarioReader, ReadsAWholeScenario)
{
    const auto scenario = readScenario("short", R"(
deployments: [karadeniz, midlands]
seed: 5
duration: 10s
steps:
  - at: 0s
    load: { level: 50%, hot_prefix: 0.5, kinds: { urgent: { weight: 1, prompt: 10, output: 5, deadline: 2s } } }
  - at: 2s
    reclaim: { part: 50%, notice: 5s }
expect:
  lost: 0
  windows:
    - { from: 1s, to: 2s, in_target: { urgent: 99% } }
)");
    ASSERT_TRUE(scenario) << scenario.error().front().path;
    EXPECT_EQ(scenario->seed, 5U);
    EXPECT_EQ(scenario->steps.size(), 2U);
    EXPECT_EQ(scenario->expectations.size(), 2U);
}

} // namespace
} // namespace snipestall::policy::harness
