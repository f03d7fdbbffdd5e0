#include "snipestall/serving/loop_lag.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {

using namespace std::chrono_literals;

TEST(LoopLag, ATickHandledLateIsLate)
{
    const SteadyTime start { 10s };
    LoopLag lag(start);
    lag.ticked(start + 50ms, start + 51ms);
    EXPECT_EQ(lag.last(), 1ms);
    lag.ticked(start + 101ms, start + 1101ms);
    EXPECT_EQ(lag.last(), 1000ms);
    lag.ticked(start + 1151ms, start + 1151ms);
    EXPECT_EQ(lag.last(), 0ms);
    EXPECT_EQ(lag.takeWorst(), 1000ms);
    EXPECT_EQ(lag.takeWorst(), 0ms);
}

// Guards against a bound that counts from the handling of an event which had waited in the kernel.
TEST(LoopLag, AnEventHasHappenedSinceTheTickBeforeTheLast)
{
    const SteadyTime start { 10s };
    LoopLag lag(start);
    lag.ticked(start + 50ms, start + 50ms);
    lag.ticked(start + 100ms, start + 900ms);
    // It may have arrived just after the loop last looked, while it was busy for 850 ms.
    EXPECT_EQ(lag.earliestArrival(), start + 50ms);
    lag.ticked(start + 950ms, start + 950ms);
    EXPECT_EQ(lag.earliestArrival(), start + 900ms);
}

} // namespace snipestall::serving
