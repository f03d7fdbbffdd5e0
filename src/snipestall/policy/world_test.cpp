#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;

class WorldTest : public testing::Test
{
protected:
    WorldTest()
    {
        m_fleet.addCustomer("ferries");
        m_fleet.start();
    }

    static PeerSummary summary(std::uint64_t peer, std::uint32_t freeSlots, Duration wait = 0ms)
    {
        PeerSummary event { { peer }, "samsun-2", "samsun-hall", {} };
        event.pools.push_back({ "airtime", freeSlots, 0, 1, wait, {} });
        return event;
    }

    FakeFleet m_fleet;
};

TEST_F(WorldTest, AnswersARequestOnAFreeSlot)
{
    m_fleet.addServer(2);
    const RequestHandle request = m_fleet.send(m_fleet.request("ferries"));
    m_fleet.runFor(10s);
    EXPECT_TRUE(m_fleet.of(request).completed);
    EXPECT_EQ(m_fleet.of(request).dispatches.size(), 1U);
}

TEST_F(WorldTest, QueuesUntilASlotIsFree)
{
    m_fleet.addServer(1);
    for (int i = 0; i < 5; ++i)
        m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    m_fleet.runFor(30s);
    for (const auto &[handle, outcome] : m_fleet.outcomes)
        EXPECT_TRUE(outcome.completed) << handle;
    EXPECT_TRUE(m_fleet.faults.empty());
}

TEST_F(WorldTest, CancelFreesTheSlotForTheNext)
{
    m_fleet.addServer(1);
    const RequestHandle first = m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    const RequestHandle second = m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    m_fleet.give(RequestCancelled { first });
    ASSERT_EQ(m_fleet.of(second).dispatches.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(m_fleet.last.front()));
}

// All instances read the same summary. If each used it for every request until the next one, all
// would flood the peer that was idle a moment ago.
TEST_F(WorldTest, RoomOfASummaryIsUsedOnlyOnce)
{
    m_fleet.give(summary(7, 5));
    m_fleet.give(summary(8, 5));
    std::map<std::uint64_t, int> sent;
    for (int i = 0; i < 8; ++i) {
        const RequestHandle request = m_fleet.send(m_fleet.request("ferries", Urgency::Urgent));
        ASSERT_EQ(m_fleet.of(request).forwards.size(), 1U);
        ++sent[m_fleet.of(request).forwards.front().peer.value];
    }
    EXPECT_EQ(sent[7], 4);
    EXPECT_EQ(sent[8], 4);
}

TEST_F(WorldTest, AForwardedRequestIsNeverForwardedOn)
{
    m_fleet.give(summary(7, 3));
    RequestArrived event = m_fleet.request("ferries", Urgency::Urgent);
    event.forwarded = true;
    const RequestHandle request = m_fleet.send(event);
    EXPECT_TRUE(m_fleet.of(request).forwards.empty());
    ASSERT_TRUE(m_fleet.of(request).refused);
    EXPECT_EQ(m_fleet.of(request).refused->reason, RefusalReason::NoCapacity);
    EXPECT_GT(m_fleet.of(request).refused->retryAfter, 0ms);
}

TEST_F(WorldTest, ADeclinedForwardComesBackAndGoesElsewhere)
{
    m_fleet.give(summary(7, 3));
    const RequestHandle request = m_fleet.send(m_fleet.request("ferries"));
    ASSERT_EQ(m_fleet.of(request).forwards.size(), 1U);
    m_fleet.give(summary(8, 1));
    const AttemptHandle attempt = m_fleet.of(request).forwards.front().attempt;
    m_fleet.give(AttemptEnded { request, attempt, AttemptResult::Declined, 1s });
    ASSERT_EQ(m_fleet.of(request).forwards.size(), 2U);
    EXPECT_EQ(m_fleet.of(request).forwards.back().peer, PeerHandle { 8 });
}

TEST_F(WorldTest, AnOldSummaryIsIgnored)
{
    m_fleet.give(summary(7, 3));
    m_fleet.runFor(4s);
    const RequestHandle request = m_fleet.send(m_fleet.request("ferries"));
    EXPECT_TRUE(m_fleet.of(request).forwards.empty());
}

TEST_F(WorldTest, ALeavingInstanceRefusesNewRequestsAndFinishesAcceptedOnes)
{
    m_fleet.addServer(1);
    const RequestHandle kept = m_fleet.send(m_fleet.request("ferries"));
    m_fleet.give(SelfLeaving { 5s });
    const RequestHandle refused = m_fleet.send(m_fleet.request("ferries"));
    RequestArrived handedOver = m_fleet.request("ferries");
    handedOver.accepted = true;
    const RequestHandle taken = m_fleet.send(handedOver);
    m_fleet.runFor(10s);
    EXPECT_TRUE(m_fleet.of(kept).completed);
    EXPECT_TRUE(m_fleet.of(taken).completed);
    EXPECT_EQ(m_fleet.of(refused).refused->reason, RefusalReason::Leaving);
    EXPECT_TRUE(m_fleet.world->summaries(m_fleet.now).empty());
}

// The platform's list lags: it reports a server as up again after its notice. Work sent there would
// be lost within seconds, so the notice holds for that incarnation.
TEST_F(WorldTest, ANoticeHoldsWhenTheListReportsTheServerAsUp)
{
    const ServerHandle server = m_fleet.addServer(2);
    m_fleet.leave(server, 5s);
    m_fleet.give(ServerUp { server, "airtime", "samsun-hall", "spot", 2, {} });
    m_fleet.give(ServerGone { server });
    m_fleet.give(ServerUp { server, "airtime", "samsun-hall", "spot", 2, {} });
    m_fleet.send(m_fleet.request("ferries"));
    EXPECT_TRUE(m_fleet.faults.empty());
    EXPECT_EQ(m_fleet.servers[server.value].dispatched, 0U);
}

// A balance change is sent, the connection breaks, and it is unknown whether it ran. If it were
// sent again, it would be booked twice, so the policy ends it there and the I/O layer answers
// `unknown`.
TEST_F(WorldTest, ASentNonIdempotentRequestIsNeverRetried)
{
    const ServerHandle server = m_fleet.addServer(1);
    m_fleet.servers[server.value].result = AttemptResult::ConnectionLost;
    RequestArrived event = m_fleet.request("ferries");
    event.idempotent = false;
    const RequestHandle request = m_fleet.send(event);
    m_fleet.runFor(10s);
    EXPECT_EQ(m_fleet.of(request).dispatches.size(), 1U);
    ASSERT_TRUE(m_fleet.of(request).refused);
    EXPECT_EQ(m_fleet.of(request).refused->reason, RefusalReason::RetriesExhausted);
}

TEST_F(WorldTest, ARequestThatCannotStartInTimeIsRefusedAtThatMoment)
{
    m_fleet.addServer(1);
    m_fleet.send(m_fleet.request("ferries"));
    RequestArrived event = m_fleet.request("ferries");
    event.deadline = m_fleet.now + 2500ms;
    const RequestHandle request = m_fleet.send(event);
    m_fleet.runFor(30s);
    const auto &outcome = m_fleet.of(request);
    EXPECT_TRUE(outcome.completed || outcome.refused);
    EXPECT_EQ(outcome.ends, 1);
}

} // namespace
} // namespace snipestall::policy
