#include "snipestall/serving/shutdown_plan.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

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

// Guards against requests that are accepted although they last longer than the time that is left.
TEST(ShutdownPlan, ARequestIsAcceptedOnlyIfItEndsBeforeTheLastAnswers)
{
    const SteadyTime signalled { 100s };
    for (const milliseconds grace : { 500ms, 2000ms, 8000ms, 30000ms }) {
        const ShutdownPlan plan(signalled, grace);
        milliseconds lastAnswer { 0 };
        while (!plan.mustAnswer(signalled + lastAnswer, 0ms))
            ++lastAnswer;
        EXPECT_GE(lastAnswer, grace * 3 / 4);
        EXPECT_LE(lastAnswer, grace * 99 / 100);
        for (const milliseconds timeout : { 50ms, 400ms, 1000ms, 5000ms, 8500ms, 30000ms }) {
            for (milliseconds at { 0 }; at < grace; at += 10ms) {
                EXPECT_EQ(plan.canFinish(signalled + at, timeout, 0ms), at + timeout < lastAnswer)
                    << grace.count() << " " << timeout.count() << " " << at.count();
            }
        }
        EXPECT_FALSE(plan.canFinish(signalled, lastAnswer - 100ms, 50ms));
    }
}

// Guards against a short grace period that is taken up by its margins: all that runs is cut at the
// signal.
TEST(ShutdownPlan, AShortGracePeriodIsMostlyUsedForRunningRequests)
{
    const SteadyTime signalled { 100s };
    const ShutdownPlan plan(signalled, 500ms);
    EXPECT_TRUE(plan.takesWork(signalled + 370ms));
    EXPECT_FALSE(plan.mustAnswer(signalled + 370ms, 0ms));
    EXPECT_TRUE(plan.mustAnswer(signalled + 375ms, 0ms));
    EXPECT_FALSE(plan.mustEnd(signalled + 470ms, 0ms));
    EXPECT_TRUE(plan.mustEnd(signalled + 475ms, 0ms));
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
