#include "snipestall/serving/first_event_estimate.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

EngineQueue queueOf(std::uint32_t running, std::array<WaitingRequests, 3> waiting)
{
    EngineQueue queue;
    queue.slots = 16;
    queue.unreadTokens = 1000;
    queue.load.waiting = waiting;
    queue.load.inFlight = running;
    for (const WaitingRequests &each : waiting)
        queue.load.inFlight += each.count;
    return queue;
}

class FirstEventEstimateTest : public testing::Test
{
protected:
    FirstEventEstimateTest()
    {
        m_estimate.setReadRate("lm", 50000);
        m_estimate.streamEnded("lm", 1600ms);
    }

    double total(const EngineQueue &queue) const
    {
        return m_estimate.predict("lm", queue)->total.count();
    }

    FirstEventEstimate m_estimate;
};

TEST_F(FirstEventEstimateTest, AnIdleEngineOnlyReadsThePrompt)
{
    const auto first = m_estimate.predict("lm", queueOf(0, {}));
    ASSERT_TRUE(first);
    EXPECT_EQ(first->wait.count(), 0);
    EXPECT_NEAR(first->total.count(), 0.04, 1e-9);
    EXPECT_FALSE(m_estimate.predict("other", queueOf(0, {})));
}

// Guards against an urgent request that is refused because of work that the engine admits after it.
TEST_F(FirstEventEstimateTest, OnlyWhatIsAsUrgentIsAhead)
{
    EngineQueue queue = queueOf(15, { { { 1, 5000 }, { 0, 0 }, { 8, 40000 } } });
    EXPECT_NEAR(total(queue), 0.04 + 0.1 + 0.1, 1e-9);
    queue.band = 2;
    EXPECT_NEAR(total(queue), 0.04 + 0.9 + 0.9, 1e-9);
}

// Guards against predictions for urgent requests that are far too low: less urgent ones that have
// slots are read first, and their slots are not given up.
TEST_F(FirstEventEstimateTest, WhatHasASlotIsAheadWhateverItsUrgency)
{
    EXPECT_NEAR(total(queueOf(4, { { { 1, 5000 }, { 0, 0 }, { 8, 40000 } } })), 0.04 + 0.9, 1e-9);
    EXPECT_NEAR(total(queueOf(12, { { { 0, 0 }, { 0, 0 }, { 8, 40000 } } })), 0.04 + 0.4 + 0.1,
                1e-9);
    EXPECT_NEAR(total(queueOf(16, { { { 0, 0 }, { 0, 0 }, { 8, 40000 } } })), 0.04 + 0.1, 1e-9);
}

// Guards against refusals while servers are upgraded: instances of an earlier version report
// requests in flight, but not which of them wait, and with what urgency.
TEST_F(FirstEventEstimateTest, MoreRequestsThanSlotsAreNotTakenForAQueueAhead)
{
    EXPECT_NEAR(total(queueOf(40, {})), 0.04 + 0.1, 1e-9);
}

// Guards against a process that has just started and takes full engines for idle ones.
TEST_F(FirstEventEstimateTest, AFullEngineIsNotPredictedBeforeAStreamHasEnded)
{
    FirstEventEstimate fresh;
    fresh.setReadRate("lm", 50000);
    EXPECT_TRUE(fresh.predict("lm", queueOf(3, {})));
    EXPECT_FALSE(fresh.predict("lm", queueOf(16, {})));
}

// Guards against engines with few slots that look free because they have nothing to read.
TEST_F(FirstEventEstimateTest, FullSlotsAreWaitedFor)
{
    EXPECT_NEAR(total(queueOf(15, {})), 0.04, 1e-9);
    EXPECT_NEAR(total(queueOf(16, {})), 0.04 + 0.1, 1e-9);
    EXPECT_NEAR(total(queueOf(16, { { { 3, 0 } } })), 0.04 + 0.4, 1e-9);
}

TEST_F(FirstEventEstimateTest, ASlowEngineTakesLongerForEverything)
{
    EngineQueue queue = queueOf(16, { { { 1, 5000 } } });
    const double usual = total(queue) - 0.02;
    queue.slowness = 2;
    EXPECT_NEAR(total(queue) - 0.02, 2 * usual, 1e-9);
}

// Guards against refusals by a prediction that is off by two where batches are full: what was seen
// corrects it, and it follows when the load changes.
TEST_F(FirstEventEstimateTest, LearnsFromWhatWasSeen)
{
    const EngineQueue queue = queueOf(0, { { { 2, 20000 } } });
    for (int i = 0; i < 64; ++i)
        m_estimate.observed("lm", *m_estimate.predict("lm", queue), 880ms);
    EXPECT_NEAR(total(queue), 0.88, 1e-6);
    for (int i = 0; i < 40; ++i)
        m_estimate.observed("lm", *m_estimate.predict("lm", queue), 440ms);
    EXPECT_NEAR(total(queue), 0.44, 1e-6);
}

// Guards against refusals by a process that has just started and knows nothing.
TEST_F(FirstEventEstimateTest, NothingIsPredictedBeforeTheRateIsKnown)
{
    FirstEventEstimate fresh;
    fresh.streamEnded("lm", 1s);
    EXPECT_FALSE(fresh.predict("lm", queueOf(16, { { { 9, 90000 } } })));
}

// Guards against predictions of a new process that are off by ten after one odd first event.
TEST_F(FirstEventEstimateTest, AFewFirstEventsDoNotSetTheFactor)
{
    const EngineQueue queue = queueOf(0, { { { 2, 20000 } } });
    const double before = total(queue);
    for (int i = 0; i < 3; ++i)
        m_estimate.observed("lm", *m_estimate.predict("lm", queue), 10ms);
    EXPECT_NEAR(total(queue), before, 1e-9);
}

// Guards against rules for overload that are off where all prompts are short, or in a new process:
// without a read rate, prompts and slots are counted.
TEST_F(FirstEventEstimateTest, PromptsAreCountedWhileTheRateIsUnknown)
{
    FirstEventEstimate fresh;
    fresh.promptReadAlone("lm", 100ms);
    EXPECT_NEAR(fresh.predict("lm", queueOf(0, {}))->total.count(), 0.1, 1e-9);
    EXPECT_NEAR(fresh.predict("lm", queueOf(0, { { { 2, 800 } } }))->total.count(), 0.3, 1e-9);
    // A full engine has to end a stream first.
    EXPECT_FALSE(fresh.predict("lm", queueOf(16, {})));
    fresh.streamEnded("lm", 1600ms);
    EXPECT_NEAR(fresh.predict("lm", queueOf(16, {}))->wait.count(), 0.1, 1e-9);
}

// Guards against a correction that was learned for another kind of prediction.
TEST_F(FirstEventEstimateTest, TheFactorBeginsAnewWithTheReadRate)
{
    FirstEventEstimate fresh;
    fresh.promptReadAlone("lm", 100ms);
    for (int i = 0; i < 64; ++i)
        fresh.observed("lm", *fresh.predict("lm", queueOf(0, {})), 1s);
    EXPECT_NEAR(fresh.predict("lm", queueOf(0, {}))->factor, 10, 1e-6);
    fresh.setReadRate("lm", 50000);
    EXPECT_NEAR(fresh.predict("lm", queueOf(0, {}))->factor, 1, 1e-6);
}

} // namespace
} // namespace snipestall::serving
