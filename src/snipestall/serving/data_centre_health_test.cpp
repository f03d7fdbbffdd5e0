#include "snipestall/serving/data_centre_health.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

// Guards against callers that wait while the path to a data centre is cut: each of its servers is
// tried in turn, and each attempt hangs until its timeout.
TEST(DataCentreHealth, TwoLostServersPutAllUnderSuspicion)
{
    DataCentreHealth health;
    health.lost("a", Start);
    EXPECT_TRUE(health.usable(Start));
    health.lost("a", Start + 10ms);
    EXPECT_TRUE(health.usable(Start + 10ms));
    health.lost("b", Start + 20ms);
    EXPECT_FALSE(health.usable(Start + 20ms));
    EXPECT_TRUE(health.usable(Start + 420ms));
}

TEST(DataCentreHealth, AnAnswerFromAnyServerEndsTheSuspicion)
{
    DataCentreHealth health;
    health.lost("a", Start);
    health.lost("b", Start);
    health.answered();
    EXPECT_TRUE(health.usable(Start));
    health.lost("c", Start);
    EXPECT_TRUE(health.usable(Start));
}

TEST(DataCentreHealth, LossesFarApartDoNotAddUp)
{
    DataCentreHealth health;
    health.lost("a", Start);
    health.lost("b", Start + 4s);
    EXPECT_TRUE(health.usable(Start + 4s));
}

TEST(DataCentreHealth, TheSuspicionLastsLongerEachTimeUpToALimit)
{
    DataCentreHealth health;
    SteadyTime now = Start;
    health.lost("a", now);
    for (int i = 0; i < 6; ++i) {
        health.lost("b", now);
        EXPECT_FALSE(health.usable(now));
        while (!health.usable(now))
            now += 100ms;
        health.lost("a", now);
    }
    EXPECT_FALSE(health.usable(now + 1500ms));
    EXPECT_TRUE(health.usable(now + 1600ms));
}

} // namespace
} // namespace snipestall::serving
