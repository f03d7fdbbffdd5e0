#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

#include <set>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;
using Outcome = FakeFleet::Outcome;

class AdmissionTest : public testing::Test
{
protected:
    FakeFleet m_fleet;
};

bool refusedFor(const Outcome &outcome, RefusalReason reason)
{
    return outcome.refused && outcome.refused->reason == reason;
}

TEST_F(AdmissionTest, RefusesAboveTheRateWithATimeAtWhichItIsAllowed)
{
    m_fleet.addCustomer("ferries").requestsPerSecond = 2;
    m_fleet.start();
    m_fleet.addServer(64);
    for (int i = 0; i < 4; ++i)
        EXPECT_FALSE(m_fleet.of(m_fleet.send(m_fleet.request("ferries"))).refused);
    const Outcome refused = m_fleet.of(m_fleet.send(m_fleet.request("ferries")));
    ASSERT_TRUE(refusedFor(refused, RefusalReason::RateLimit));
    m_fleet.runFor(refused.refused->retryAfter);
    EXPECT_FALSE(m_fleet.of(m_fleet.send(m_fleet.request("ferries"))).refused);
}

TEST_F(AdmissionTest, ARequestAboveTheTokenBurstIsAdmittedAndDelaysTheNext)
{
    m_fleet.addCustomer("ferries").tokensPerSecond = 100;
    m_fleet.start();
    m_fleet.addServer(64);
    RequestArrived review = m_fleet.request("ferries");
    review.promptTokens = 1000;
    EXPECT_FALSE(m_fleet.of(m_fleet.send(review)).refused);
    const Outcome next = m_fleet.of(m_fleet.send(m_fleet.request("ferries")));
    ASSERT_TRUE(refusedFor(next, RefusalReason::TokenLimit));
    EXPECT_GE(next.refused->retryAfter, 8s);
}

TEST_F(AdmissionTest, ConcurrencyCountsWhatHasNotEnded)
{
    m_fleet.addCustomer("ferries").concurrency = 2;
    m_fleet.start();
    m_fleet.addServer(1);
    m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    const RequestHandle third = m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    EXPECT_TRUE(refusedFor(m_fleet.of(third), RefusalReason::ConcurrencyLimit));
    m_fleet.runFor(10s);
    EXPECT_FALSE(m_fleet.of(m_fleet.send(m_fleet.request("ferries", Urgency::Patient))).refused);
}

TEST_F(AdmissionTest, LimitsAreDividedOverTheInstancesOfTheDataCentre)
{
    m_fleet.addCustomer("ferries").concurrency = 4;
    m_fleet.start();
    m_fleet.addServer(64);
    m_fleet.give(PeerSummary { { 7 }, "samsun-2", "samsun-hall", {} });
    m_fleet.give(PeerSummary { { 8 }, "trabzon-1", "trabzon-hall", {} });
    for (int i = 0; i < 4; ++i)
        m_fleet.send(m_fleet.request("ferries"));
    EXPECT_EQ(m_fleet.count([](const Outcome &o) { return o.refused.has_value(); }), 2);
}

// An instance under notice hands its requests over to a receiver that is at its limits. Their
// callers already know that the requests are accepted, so a refusal would lose them.
TEST_F(AdmissionTest, AcceptedRequestsAreNotRefusedByALimit)
{
    settings::LeafSettings &leaf = m_fleet.addCustomer("ferries");
    leaf.concurrency = 1;
    leaf.requestsPerSecond = 0;
    m_fleet.start();
    m_fleet.addServer(1);
    for (int i = 0; i < 20; ++i) {
        RequestArrived event = m_fleet.request("ferries");
        event.accepted = true;
        m_fleet.send(event);
    }
    m_fleet.runFor(60s);
    EXPECT_EQ(m_fleet.count([](const Outcome &o) { return o.completed.has_value(); }), 20);
}

TEST_F(AdmissionTest, UnknownServicesAndCustomersAreRefused)
{
    m_fleet.addCustomer("ferries");
    m_fleet.start();
    m_fleet.addServer(1);
    RequestArrived event = m_fleet.request("ferries");
    event.service = "no-such-service";
    EXPECT_TRUE(refusedFor(m_fleet.of(m_fleet.send(event)), RefusalReason::UnknownService));
    const RequestHandle stranger = m_fleet.send(m_fleet.request("stranger"));
    EXPECT_TRUE(refusedFor(m_fleet.of(stranger), RefusalReason::UnknownService));
}

// Ten times the usual load arrives for five seconds. Without early refusal the queue outlasts the
// burst, each queued request is served just after its deadline, and no caller gets an answer in
// time.
TEST_F(AdmissionTest, ABurstIsRefusedEarlyAndAdmittedRequestsMeetTheirDeadlines)
{
    m_fleet.addCustomer("ferries");
    m_fleet.start();
    for (int i = 0; i < 4; ++i)
        m_fleet.addServer(8);
    // Each request takes 2.05 s on one of 32 slots, so the pool serves about 15 requests per
    // second.
    const auto make = [&] {
        RequestArrived event = m_fleet.request("ferries");
        event.deadline = m_fleet.now + 8s;
        return event;
    };
    m_fleet.load(10, 10s, make);
    m_fleet.load(100, 5s, make);
    m_fleet.load(10, 20s, make);
    m_fleet.runFor(60s);
    const int late = m_fleet.count(
        [](const Outcome &o) { return o.completed && *o.completed > o.request.deadline; });
    const int expired =
        m_fleet.count([](const Outcome &o) { return refusedFor(o, RefusalReason::Expired); });
    const int answered = m_fleet.count([](const Outcome &o) { return o.completed.has_value(); });
    EXPECT_LE(late, 8);
    EXPECT_LE(expired, 8);
    EXPECT_GE(answered, 35 * 10);
}

// A pool gets one and a half times the load that it can serve, for a minute. Refusals must not
// reduce goodput: the slots stay full of work that ends in time, and requests are refused on
// arrival.
TEST_F(AdmissionTest, SaturationKeepsGoodputAndRefusesOnArrival)
{
    m_fleet.addCustomer("ferries");
    m_fleet.start();
    for (int i = 0; i < 4; ++i)
        m_fleet.addServer(8);
    const auto make = [&] {
        RequestArrived event = m_fleet.request("ferries");
        event.deadline = m_fleet.now + 8s;
        return event;
    };
    m_fleet.load(23, 60s, make);
    m_fleet.runFor(60s);
    const int inTime = m_fleet.count(
        [](const Outcome &o) { return o.completed && *o.completed <= o.request.deadline; });
    const double capacity = 60.0 * 28 / 2.05;
    EXPECT_GE(inTime, 0.95 * capacity);
}

TEST_F(AdmissionTest, CallersRefusedTogetherGetDifferentRetryTimes)
{
    m_fleet.addCustomer("ferries").requestsPerSecond = 1;
    m_fleet.start();
    m_fleet.addServer(1);
    std::set<Duration> times;
    for (int i = 0; i < 20; ++i) {
        const auto &outcome = m_fleet.of(m_fleet.send(m_fleet.request("ferries")));
        if (outcome.refused)
            times.insert(outcome.refused->retryAfter);
    }
    EXPECT_GE(times.size(), 15U);
}

} // namespace
} // namespace snipestall::policy
