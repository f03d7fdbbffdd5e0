#include "snipestall/serving/demand_meter.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

TEST(DemandMeter, HasNoReadRateBeforeEnoughPromptsWereRead)
{
    DemandMeter meter;
    for (int i = 0; i < 7; ++i)
        meter.promptRead("lm", 10000, 100ms);
    EXPECT_EQ(meter.readRate("lm"), 0);
    meter.promptRead("lm", 10000, 100ms);
    EXPECT_EQ(meter.readRate("lm"), 100000);
}

TEST(DemandMeter, NeedsAsManyServersAsThePromptsTakeOfThem)
{
    DemandMeter meter;
    for (int i = 0; i < 8; ++i)
        meter.promptRead("lm", 10000, 100ms);
    SteadyTime now = Start;
    meter.sample(now);
    for (int i = 0; i < 60; ++i) {
        now += 100ms;
        meter.promptSent("lm", 20000);
        meter.sample(now);
    }
    EXPECT_NEAR(meter.needed("lm"), 2, 0.1);
}

// Guards against ordering servers by the hundred at five times the price: after reclaimable servers
// were reclaimed, the others are overloaded, every prompt takes three times as long, and the same
// requests look like three times the work.
TEST(DemandMeter, OverloadDoesNotMakeTheSamePromptsMoreWork)
{
    DemandMeter meter;
    for (int i = 0; i < 8; ++i)
        meter.promptRead("lm", 10000, 100ms);
    for (int i = 0; i < 100; ++i)
        meter.promptRead("lm", 10000, 300ms);
    EXPECT_GE(meter.readRate("lm"), 90000);
}

TEST(DemandMeter, APeerThatRestartsDoesNotCountTwice)
{
    DemandMeter meter;
    SteadyTime now = Start;
    meter.updatePeerWork("other", 1, { { "lm", 50 } });
    meter.sample(now);
    for (int i = 1; i <= 60; ++i) {
        now += 100ms;
        meter.updatePeerWork("other", i < 30 ? 1 : 2,
                             { { "lm", i < 30 ? 50 + i * 0.1 : i * 0.1 } });
        meter.sample(now);
    }
    EXPECT_LE(meter.needed("lm"), 1.1);
}

// Guards against a fleet that is planned by prompts read while the slots of its engines are full:
// long answers to short prompts take all slots and hardly any reading.
TEST(DemandMeter, CountsSlotsWhereTheyAreScarcerThanReading)
{
    DemandMeter meter;
    for (int i = 0; i < 8; ++i)
        meter.promptRead("lm", 10000, 100ms);
    SteadyTime now = Start;
    meter.sample(now);
    for (int i = 0; i < 60; ++i) {
        now += 100ms;
        meter.promptSent("lm", 1000);
        for (int stream = 0; stream < 24; ++stream)
            meter.streamEnded("lm", 2s, 0, 16);
        meter.sample(now);
    }
    EXPECT_NEAR(meter.needed("lm"), 24 * 10 * 2 / 16., 1.5);
}

// Guards against two counts of the same work: a request takes a slot while its prompt is read.
TEST(DemandMeter, ReadingAndSlotsAreNotAddedUp)
{
    DemandMeter meter;
    for (int i = 0; i < 8; ++i)
        meter.promptRead("lm", 10000, 100ms);
    SteadyTime now = Start;
    meter.sample(now);
    for (int i = 0; i < 60; ++i) {
        now += 100ms;
        meter.promptSent("lm", 20000);
        meter.streamEnded("lm", 1s, 20000, 16);
        meter.sample(now);
    }
    EXPECT_NEAR(meter.needed("lm"), 2, 0.1);
}

// Guards against slot time that is lost where an instance sees few streams itself: a peer's count
// is part of the demand, and one that restarts begins anew.
TEST(DemandMeter, AddsUpTheSlotTimeOfPeers)
{
    DemandMeter meter;
    SteadyTime now = Start;
    meter.updatePeerWork("other", 1, { { "lm", 0 } }, { { "lm", 70 } });
    meter.sample(now);
    for (int i = 1; i <= 60; ++i) {
        now += 100ms;
        meter.updatePeerWork("other", i < 30 ? 1 : 2, { { "lm", 0 } },
                             { { "lm", (i < 30 ? 70 : 0) + i * 0.3 } });
        meter.sample(now);
    }
    EXPECT_NEAR(meter.neededNow("lm"), 3, 0.2);
}

} // namespace
} // namespace snipestall::serving
