#include "snipestall/serving/shutdown_plan.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {

using namespace std::chrono_literals;

// Guards against requests that are accepted so late that the end of the grace period cuts them off.
TEST(ShutdownPlan, RequestsAreAcceptedForAPartOfTheGracePeriodOnly)
{
    const SteadyTime signalled { 100s };
    const ShutdownPlan plan(signalled, 8s);
    EXPECT_TRUE(plan.takesWork(signalled + 2600ms));
    EXPECT_FALSE(plan.takesWork(signalled + 2700ms));
    EXPECT_FALSE(plan.mustAnswer(signalled + 7400ms, 0ms));
    EXPECT_TRUE(plan.mustAnswer(signalled + 7500ms, 0ms));
    EXPECT_FALSE(plan.mustEnd(signalled + 7800ms, 0ms));
    EXPECT_TRUE(plan.mustEnd(signalled + 7900ms, 0ms));
}

// Guards against a grace period that is shorter than the time for which requests are accepted.
TEST(ShutdownPlan, AShortGracePeriodLeavesTimeForLastAnswers)
{
    const SteadyTime signalled { 100s };
    const ShutdownPlan plan(signalled, 2s);
    EXPECT_FALSE(plan.takesWork(signalled + 1500ms));
    EXPECT_TRUE(plan.mustAnswer(signalled + 1500ms, 0ms));
    EXPECT_FALSE(plan.mustEnd(signalled + 1500ms, 0ms));
    EXPECT_TRUE(plan.mustEnd(signalled + 1900ms, 0ms));
}

// Guards against a process that is killed before it ends by itself.
TEST(ShutdownPlan, AProcessThatRunsLateEndsEarlier)
{
    const SteadyTime signalled { 100s };
    const ShutdownPlan plan(signalled, 8s);
    EXPECT_TRUE(plan.mustAnswer(signalled + 5500ms, 500ms));
    EXPECT_FALSE(plan.mustEnd(signalled + 6800ms, 500ms));
    EXPECT_TRUE(plan.mustEnd(signalled + 6900ms, 500ms));
}

} // namespace snipestall::serving
