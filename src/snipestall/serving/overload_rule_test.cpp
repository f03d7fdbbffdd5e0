#include "snipestall/serving/overload_rule.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

OverloadInput inputOf(std::chrono::duration<double> wait, std::chrono::duration<double> total)
{
    OverloadInput input;
    input.earliest = FirstEvent { wait, total };
    input.target = 1000ms;
    input.timeout = 12s;
    return input;
}

TEST(OverloadRule, SendsWhatCanBeInTime)
{
    EXPECT_FALSE(refusedByLoad(inputOf(800ms, 950ms), 0));
    EXPECT_FALSE(refusedByLoad({}, 0));
}

// Guards against requests that wait for a server until they are late, and delay all after them.
TEST(OverloadRule, RefusesWhatWouldBeLate)
{
    const auto refusal = refusedByLoad(inputOf(1900ms, 2s), 0);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->predicted, 2s);
    EXPECT_EQ(refusal->retryAfter, 500ms);
}

// Guards against a refusal although nothing waits: a long prompt takes longer than its target on
// any server.
TEST(OverloadRule, NothingIsRefusedForItsOwnLength)
{
    EXPECT_FALSE(refusedByLoad(inputOf(0ms, 3s), 0));
    OverloadInput input = inputOf(1900ms, 2s);
    input.hasFreeSlot = true;
    EXPECT_FALSE(refusedByLoad(input, 0));
}

// Guards against long prompts that are never sent while servers are free: somewhere at each server
// a short prompt is just being read, which delays them by a few milliseconds.
TEST(OverloadRule, AShortWaitDoesNotRefuseALongPrompt)
{
    OverloadInput input = inputOf(20ms, 3s);
    EXPECT_FALSE(refusedByLoad(input, 0));
    input.overShare = true;
    EXPECT_FALSE(refusedByLoad(input, 0));
    input.earliest->wait = 300ms;
    EXPECT_TRUE(refusedByLoad(input, 0));
}

// Guards against a flood that uses up the room of the others.
TEST(OverloadRule, CustomersOverTheirShareAreRefusedFirst)
{
    OverloadInput input = inputOf(800ms, 900ms);
    EXPECT_FALSE(refusedByLoad(input, 0));
    input.overShare = true;
    EXPECT_TRUE(refusedByLoad(input, 0));
}

// Guards against urgent requests that full queues reject: patient ones have filled them.
TEST(OverloadRule, LessUrgentRequestsLeavePlacesInTheQueues)
{
    OverloadInput input = inputOf(300ms, 400ms);
    input.leastUse = 1.6;
    EXPECT_FALSE(refusedByLoad(input, 0));
    input.band = 1;
    EXPECT_TRUE(refusedByLoad(input, 0));
    input.leastUse = 1.3;
    EXPECT_FALSE(refusedByLoad(input, 0));
    input.band = 2;
    EXPECT_TRUE(refusedByLoad(input, 0));
    // A flood leaves more places than others.
    input.band = 1;
    input.overShare = true;
    EXPECT_TRUE(refusedByLoad(input, 0));
}

// Guards against urgent requests that full queues reject while nothing is predicted: for short
// prompts, in a process that has just started, for a service that is used for the first time.
TEST(OverloadRule, PlacesAreKeptWithoutAPrediction)
{
    OverloadInput input;
    input.target = 1000ms;
    input.timeout = 12s;
    input.leastUse = 1.6;
    EXPECT_FALSE(refusedByLoad(input, 0));
    input.band = 1;
    EXPECT_TRUE(refusedByLoad(input, 0));
    input.hasFreeSlot = true;
    EXPECT_FALSE(refusedByLoad(input, 0));
}

// Guards against callers that return together and meet the same queue, and against those that are
// told to come back when they have left.
TEST(OverloadRule, CallersReturnSpreadAndWhileTheyHaveTime)
{
    EXPECT_EQ(refusedByLoad(inputOf(1900ms, 2s), 0.5)->retryAfter, 750ms);
    EXPECT_EQ(refusedByLoad(inputOf(60s, 60s), 0.9)->retryAfter, 3s);
    EXPECT_EQ(refusedByLoad(inputOf(1500ms, 1501ms), 0)->retryAfter, 100ms);
}

} // namespace
} // namespace snipestall::serving
