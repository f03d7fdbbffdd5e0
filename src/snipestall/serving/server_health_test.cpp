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

// Guards against a server that pauses for a second and counts as failing long after it: attempts
// that this instance ended itself were recorded as losses.
TEST(ServerHealth, ASilentServerIsAvoidedUntilItIsHeardAndHasNotFailed)
{
    ServerHealth health;
    health.stalled(Start);
    health.stalled(Start + 50ms);
    EXPECT_FALSE(health.usable(Start + 399ms));
    EXPECT_TRUE(health.usable(Start + 400ms));
    health.stalled(Start + 400ms);
    EXPECT_FALSE(health.usable(Start + 1199ms));
    health.heard();
    EXPECT_TRUE(health.usable(Start + 500ms));
    EXPECT_EQ(health.failureRate(), 0);
}

// Guards against a byte on one connection that hides that others were broken off.
TEST(ServerHealth, AByteDoesNotEndTheAvoidanceOfALostServer)
{
    ServerHealth health;
    health.lost(Start);
    health.heard();
    EXPECT_FALSE(health.usable(Start + 399ms));
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
