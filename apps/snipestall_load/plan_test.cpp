#include "plan.hpp"

#include <gtest/gtest.h>

namespace snipestall::load {
namespace {

constexpr auto Yaml = R"(
rate: 100
duration_ms: 10000
seed: 7
bursts: [{at_ms: 5000, length_ms: 1000, factor: 5}]
classes:
  - {name: chat, share: 3, model: m, prompt_characters: [50, 60], prefixes: 2, max_tokens: 8}
  - {name: ledger, share: 1, service: ledger, keyed_share: 1, non_idempotent_share: 1}
)";

TEST(PlanTest, TheSameSeedGivesTheSameCallsWithBurstsAndShares)
{
    const auto mix = Mix::parse(Yaml);
    ASSERT_TRUE(mix.has_value()) << mix.error().message;
    const auto calls = planCalls(*mix, 2, "run");
    const auto again = planCalls(*mix, 2, "run");
    ASSERT_EQ(calls.size(), again.size());
    EXPECT_EQ(calls.back().prompt, again.back().prompt);
    EXPECT_NEAR(static_cast<double>(calls.size()), 1400, 150);
    std::size_t ledger = 0;
    std::size_t burst = 0;
    for (const auto &call : calls) {
        ledger += call.workClass;
        const bool inBurst =
            call.at >= std::chrono::seconds(5) && call.at < std::chrono::seconds(6);
        burst += inBurst ? 1 : 0;
        EXPECT_EQ(call.idempotencyKey.empty(), call.workClass == 0);
    }
    EXPECT_NEAR(static_cast<double>(burst), 500, 90);
    EXPECT_NEAR(static_cast<double>(ledger) / static_cast<double>(calls.size()), 0.25, 0.05);
}

TEST(PlanTest, ErrorOfAnInvalidMixNamesThePath)
{
    const auto unknown = Mix::parse("classes: [{model: m, speed: 3}]");
    ASSERT_FALSE(unknown.has_value());
    EXPECT_NE(unknown.error().message.find("classes[0].speed"), std::string::npos);
    const auto neither = Mix::parse("classes: [{name: x}]");
    ASSERT_FALSE(neither.has_value());
}

} // namespace
} // namespace snipestall::load
