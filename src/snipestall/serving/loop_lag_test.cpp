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

// Guards against a time limit that is counted from the handling of an event that had waited in the
// kernel.
TEST(LoopLag, TheEarliestArrivalOfAnEventThatWaitedIsNotTooLate)
{
    const SteadyTime start { 10s };
    LoopLag lag(start);
    lag.ticked(start + 50ms, start + 50ms);
    lag.ticked(start + 100ms, start + 100ms);
    // Busy for 850 ms: an event that arrived meanwhile is handled after this tick or the next one.
    lag.ticked(start + 150ms, start + 950ms);
    EXPECT_LE(lag.earliestArrival(), start + 100ms);
    lag.ticked(start + 1000ms, start + 1000ms);
    EXPECT_LE(lag.earliestArrival(), start + 100ms);
    lag.ticked(start + 1050ms, start + 1050ms);
    lag.ticked(start + 1100ms, start + 1100ms);
    EXPECT_GE(lag.earliestArrival(), start + 1000ms);
}

} // namespace snipestall::serving
