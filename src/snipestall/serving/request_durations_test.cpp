#include "snipestall/serving/request_durations.hpp"

#include "snipestall/base/random.hpp"

#include <gtest/gtest.h>

#include <string>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr SteadyTime Start { 100s };
constexpr milliseconds Limit { 8500 };

/// Measures `count` requests, one after the other, and returns the time after the last one.
SteadyTime measure(RequestDurations &durations, int count, milliseconds took,
                   SteadyTime from = Start)
{
    for (int i = 0; i < count; ++i) {
        durations.ended("orders", "ledger", from, from + took);
        from += took;
    }
    return from;
}

// Guards against taking requests on a guess: a process that has just started has measured none.
TEST(RequestDurations, WithoutEnoughMeasurementsARequestIsExpectedToTakeItsLimit)
{
    RequestDurations durations;
    EXPECT_EQ(durations.expected("orders", "ledger", Limit, Start), Limit);
    const SteadyTime now = measure(durations, RequestDurations::MinMeasured - 1, 1s);
    EXPECT_EQ(durations.expected("orders", "ledger", Limit, now), Limit);
    measure(durations, 1, 1s, now);
    EXPECT_LT(durations.expected("orders", "ledger", Limit, now + 1s), 1200ms);
    EXPECT_GE(durations.expected("orders", "ledger", Limit, now + 1s), 1s);
    EXPECT_EQ(durations.expected("orders", "ledger", 500ms, now + 1s), 500ms);
    EXPECT_EQ(durations.expected("orders", "stock", Limit, now + 1s), Limit);
}

// Guards against a prediction from the short requests alone, which are the first ones to end.
TEST(RequestDurations, AProcessThatMeasuresForLessThanTheLimitPredictsTheLimit)
{
    RequestDurations durations;
    measure(durations, 100, 10ms);
    EXPECT_EQ(durations.expected("orders", "ledger", Limit, Start + Limit - 1ms), Limit);
    EXPECT_LT(durations.expected("orders", "ledger", Limit, Start + Limit), 20ms);
}

// Guards against a prediction that a notable part of the requests exceeds: those would be cut.
TEST(RequestDurations, FewRequestsTakeLongerThanExpected)
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        Random random(seed);
        RequestDurations durations;
        SteadyTime now = Start;
        const auto draw = [&random] {
            return milliseconds(300 + static_cast<int>(random.below(7700)));
        };
        for (int i = 0; i < 1000; ++i, now += 100ms)
            durations.ended("orders", "ledger", now, now + draw());
        const milliseconds expected = durations.expected("orders", "ledger", Limit, now);
        int longer = 0;
        for (int i = 0; i < 1000; ++i)
            longer += draw() > expected ? 1 : 0;
        EXPECT_LE(longer, 10) << seed;
    }
}

// Guards against a prediction from before servers became fast, which would refuse for ever.
TEST(RequestDurations, OldMeasurementsLoseTheirWeight)
{
    RequestDurations durations;
    SteadyTime now = measure(durations, 1000, 7s);
    EXPECT_GE(durations.expected("orders", "ledger", Limit, now), 7s);
    now = measure(durations, 5000, 20ms, now);
    EXPECT_LT(durations.expected("orders", "ledger", Limit, now), 30ms);
}

// Guards against taking requests while none ends, as all servers of the route are silent.
TEST(RequestDurations, RequestsThatAreStillRunningCount)
{
    RequestDurations durations;
    const SteadyTime now = measure(durations, 1000, 20ms);
    for (int i = 0; i < 24; ++i)
        durations.running("orders", "ledger", now, now + 3s);
    EXPECT_GE(durations.expected("orders", "ledger", Limit, now + 3s), 3s);
}

// Guards against memory that grows with each route that a configuration ever had.
TEST(RequestDurations, TheNumberOfRoutesIsBounded)
{
    RequestDurations durations;
    SteadyTime now = Start;
    for (std::size_t i = 0; i < 2 * RequestDurations::MaxSeries; ++i, now += 1s)
        durations.ended("route-" + std::to_string(i), "ledger", now, now + 10ms);
    EXPECT_EQ(durations.series(), RequestDurations::MaxSeries);
}

} // namespace
} // namespace snipestall::serving
