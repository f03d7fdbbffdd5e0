#include "snipestall/serving/server_outcomes.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

// Guards against an instance that has to fail at every server itself: a single failure at each of
// five instances tells all of them.
TEST(ServerOutcomes, CountsOfSeveralInstancesAddUp)
{
    ServerOutcomes sum;
    for (int instance = 0; instance < 5; ++instance) {
        OutcomeCounter counter;
        counter.failed(Start + instance * 100ms);
        EXPECT_EQ(counter.at(Start + 500ms).failureRate(), 0);
        sum += counter.at(Start + 500ms);
    }
    EXPECT_EQ(sum.failureRate(), 1);
}

// Guards against a server that is avoided for good: what it did counts less and less, until a few
// requests go there again.
TEST(ServerOutcomes, OldFailuresAreForgotten)
{
    OutcomeCounter counter;
    for (int i = 0; i < 8; ++i)
        counter.failed(Start);
    EXPECT_EQ(counter.at(Start).failureRate(), 1);
    EXPECT_EQ(counter.at(Start + 3s).failureRate(), 0);
    EXPECT_TRUE(counter.at(Start + 15s).isNegligible());
}

// Guards against a slow server that is taken for a usual one by instances without streams there.
TEST(ServerOutcomes, ThePaceIsAveragedOverInstances)
{
    OutcomeCounter one;
    OutcomeCounter other;
    one.recordPace(20ms, Start);
    other.recordPace(40ms, Start);
    ServerOutcomes sum = one.at(Start);
    sum += other.at(Start);
    ASSERT_TRUE(sum.averagePace());
    EXPECT_NEAR(sum.averagePace()->count(), 0.03, 1e-6);
    EXPECT_FALSE(ServerOutcomes().averagePace());
}

} // namespace
} // namespace snipestall::serving
