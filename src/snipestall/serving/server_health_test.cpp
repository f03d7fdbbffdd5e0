#include "snipestall/serving/server_health.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

TEST(ServerHealth, AvoidsALostServerForLongerEachTimeUpToALimit)
{
    ServerHealth health;
    health.lost(Start);
    EXPECT_FALSE(health.usable(Start + 399ms));
    EXPECT_TRUE(health.usable(Start + 400ms));
    SteadyTime now = Start;
    for (int i = 0; i < 10; ++i)
        health.lost(now);
    EXPECT_FALSE(health.usable(now + 3100ms));
    EXPECT_TRUE(health.usable(now + 3200ms));
}

TEST(ServerHealth, AnAnswerEndsTheAvoidance)
{
    ServerHealth health;
    health.lost(Start);
    health.answered();
    EXPECT_TRUE(health.usable(Start));
}

TEST(ServerHealth, TheFailureRateFollowsTheAnswers)
{
    ServerHealth health;
    for (int i = 0; i < 100; ++i)
        health.failed();
    EXPECT_GT(health.failureRate(), 0.9);
    for (int i = 0; i < 100; ++i)
        health.answered();
    EXPECT_LT(health.failureRate(), 0.1);
}

} // namespace
} // namespace snipestall::serving
