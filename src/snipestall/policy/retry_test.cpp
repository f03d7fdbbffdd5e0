#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;
using Outcome = FakeFleet::Outcome;

class RetryTest : public testing::Test
{
protected:
    RetryTest()
    {
        m_fleet.addCustomer("ferries");
        m_fleet.start();
    }

    RequestHandle sendCrasher(std::uint64_t fingerprint)
    {
        RequestArrived event = m_fleet.request("ferries");
        event.fingerprint = fingerprint;
        m_fleet.crashers.insert(event.request.value);
        return m_fleet.send(event);
    }

    int serversLost() const
    {
        return static_cast<int>(
            std::count_if(m_fleet.servers.begin(), m_fleet.servers.end(),
                          [](const auto &server) { return server.second.gone; }));
    }

    FakeFleet m_fleet;
};

// One request crashes each server that runs it. If it is retried beside other requests, it takes
// down a server and those requests each time; if those are retried side by side, they can't be
// distinguished from it.
TEST_F(RetryTest, ACrashingRequestCostsTwoServersAndNoOtherRequest)
{
    for (int i = 0; i < 4; ++i)
        m_fleet.addServer(4);
    for (int i = 0; i < 6; ++i)
        m_fleet.send(m_fleet.request("ferries"));
    const RequestHandle crasher = sendCrasher(77);
    for (int i = 0; i < 6; ++i)
        m_fleet.send(m_fleet.request("ferries"));
    m_fleet.runFor(60s);
    EXPECT_EQ(serversLost(), 2);
    ASSERT_TRUE(m_fleet.of(crasher).refused);
    EXPECT_EQ(m_fleet.of(crasher).refused->reason, RefusalReason::Quarantined);
    EXPECT_EQ(m_fleet.count([](const Outcome &o) { return o.completed.has_value(); }), 12);
}

TEST_F(RetryTest, ASuspectRunsAlone)
{
    const ServerHandle first = m_fleet.addServer(4);
    std::vector<RequestHandle> suspects;
    suspects.reserve(4);
    for (int i = 0; i < 4; ++i)
        suspects.push_back(m_fleet.send(m_fleet.request("ferries")));
    m_fleet.addServer(4);
    m_fleet.send(m_fleet.request("ferries"));
    m_fleet.runFor(100ms);
    for (auto &[handle, outcome] : m_fleet.outcomes)
        outcome.beside.clear();
    m_fleet.kill(first);
    for (int i = 0; i < 4; ++i)
        m_fleet.send(m_fleet.request("ferries"));
    m_fleet.runFor(60s);
    for (const RequestHandle suspect : suspects) {
        EXPECT_TRUE(m_fleet.of(suspect).completed);
        EXPECT_TRUE(m_fleet.of(suspect).beside.empty());
    }
}

// The caller of a quarantined request sends it again, with a new handle and perhaps through another
// instance. The request must not cost a third server.
TEST_F(RetryTest, ARepeatOfAQuarantinedRequestIsRefused)
{
    for (int i = 0; i < 4; ++i)
        m_fleet.addServer(4);
    sendCrasher(77);
    m_fleet.runFor(10s);
    const RequestHandle again = sendCrasher(77);
    ASSERT_TRUE(m_fleet.of(again).refused);
    EXPECT_EQ(m_fleet.of(again).refused->reason, RefusalReason::Quarantined);
    EXPECT_EQ(serversLost(), 2);

    FakeFleet neighbour;
    neighbour.addCustomer("ferries");
    neighbour.start();
    neighbour.addServer(4);
    neighbour.give(
        PeerSummary { { 7 }, "samsun-2", "samsun-hall", m_fleet.world->summaries(m_fleet.now) });
    RequestArrived elsewhere = neighbour.request("ferries");
    elsewhere.fingerprint = 77;
    EXPECT_TRUE(neighbour.of(neighbour.send(elsewhere)).refused);
}

// A peer ran the request and lost its servers to it. If the request ran here at once, it would cost
// a third server, although the peer's summary that names it is already on its way.
TEST_F(RetryTest, AForwardThatKilledThePeersServersIsNotRunHere)
{
    PeerSummary summary { { 7 }, "samsun-2", "samsun-hall", {} };
    summary.pools.emplace_back().service = "airtime";
    summary.pools.back().freeSlots = 8;
    summary.pools.back().servers = 2;
    m_fleet.give(summary);
    const RequestHandle request = sendCrasher(77);
    ASSERT_EQ(m_fleet.of(request).forwards.size(), 1U);
    m_fleet.addServer(4);
    const AttemptHandle attempt = m_fleet.of(request).forwards.front().attempt;
    m_fleet.give(AttemptEnded { request, attempt, AttemptResult::ServerDied, {} });
    m_fleet.runFor(800ms);
    summary.pools.back().quarantined = { 77 };
    m_fleet.give(summary);
    m_fleet.runFor(5s);
    EXPECT_EQ(serversLost(), 0);
    ASSERT_TRUE(m_fleet.of(request).refused);
    EXPECT_EQ(m_fleet.of(request).refused->reason, RefusalReason::Quarantined);
}

// The last engine of an owner dies while it holds requests that peers forwarded. The streams of
// these callers would stop and fail a minute later, although engines are up elsewhere, because the
// owner kept the requests for an engine that it no longer had. The requests must go back to their
// home at once.
TEST_F(RetryTest, ForwardedRequestsGoBackWhenTheLastServerDies)
{
    const ServerHandle only = m_fleet.addServer(1);
    RequestArrived running = m_fleet.request("ferries", Urgency::Patient);
    running.forwarded = true;
    RequestArrived waiting = m_fleet.request("ferries", Urgency::Patient);
    waiting.forwarded = true;
    const RequestHandle first = m_fleet.send(running);
    const RequestHandle second = m_fleet.send(waiting);
    ASSERT_EQ(m_fleet.of(first).dispatches.size(), 1U);
    ASSERT_FALSE(m_fleet.of(second).refused);
    m_fleet.kill(only);
    m_fleet.runFor(2s);
    ASSERT_TRUE(m_fleet.of(first).refused);
    ASSERT_TRUE(m_fleet.of(second).refused);
    EXPECT_EQ(m_fleet.of(second).refused->reason, RefusalReason::NoCapacity);
}

// The attempt of a forwarded request can't reach the server's address and waits for a backoff.
// Meanwhile the server is gone, and when the backoff ends there is no server left to wait for.
TEST_F(RetryTest, ABackoffThatEndsAfterTheLastServerIsGoneReturnsToTheHome)
{
    const ServerHandle only = m_fleet.addServer(1);
    RequestArrived arrived = m_fleet.request("ferries", Urgency::Patient);
    arrived.forwarded = true;
    const RequestHandle request = m_fleet.send(arrived);
    ASSERT_EQ(m_fleet.of(request).dispatches.size(), 1U);
    const AttemptHandle attempt = m_fleet.of(request).dispatches.front().attempt;
    m_fleet.give(AttemptEnded { request, attempt, AttemptResult::NotSent, {} });
    m_fleet.give(ServerGone { only });
    m_fleet.runFor(5s);
    ASSERT_TRUE(m_fleet.of(request).refused);
    EXPECT_EQ(m_fleet.of(request).refused->reason, RefusalReason::NoCapacity);
}

// A request of this instance is a suspect of the death of the last engine, and no engine is left
// here that could be emptied for it. A peer has one.
TEST_F(RetryTest, ASuspectWithoutAServerHereIsForwarded)
{
    const ServerHandle only = m_fleet.addServer(1);
    const RequestHandle request = m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    ASSERT_EQ(m_fleet.of(request).dispatches.size(), 1U);
    PeerSummary summary { { 7 }, "samsun-2", "samsun-hall", {} };
    summary.pools.emplace_back().service = "airtime";
    summary.pools.back().freeSlots = 8;
    summary.pools.back().servers = 2;
    m_fleet.give(summary);
    m_fleet.kill(only);
    m_fleet.runFor(2s);
    EXPECT_EQ(m_fleet.of(request).forwards.size(), 1U);
}

// A rack loses power: four of eight servers die at the same moment. If all requests that ran there
// became suspects, the surviving servers would be emptied to run dozens of requests one by one.
TEST_F(RetryTest, ManyDeathsAtOnceMakeFewSuspects)
{
    std::vector<ServerHandle> servers;
    servers.reserve(8);
    for (int i = 0; i < 8; ++i)
        servers.push_back(m_fleet.addServer(8));
    for (int i = 0; i < 40; ++i)
        m_fleet.send(m_fleet.request("ferries"));
    m_fleet.runFor(500ms);
    for (int i = 0; i < 4; ++i)
        m_fleet.kill(servers[i]);
    m_fleet.runFor(60s);
    const int slow = m_fleet.count(
        [](const Outcome &o) { return !o.completed || *o.completed - o.arrived > 20s; });
    EXPECT_EQ(slow, 0);
}

// Every attempt in the pool fails for a while. If each failure were retried at once, the retries
// would multiply the load while no attempt succeeds.
TEST_F(RetryTest, RetriesStayWithinTheirBudget)
{
    const ServerHandle server = m_fleet.addServer(32);
    m_fleet.servers[server.value].result = AttemptResult::ConnectionLost;
    m_fleet.load(20, 20s, [&] { return m_fleet.request("ferries"); });
    EXPECT_LE(m_fleet.servers[server.value].dispatched, 20U * 20U * 12 / 10 + 32);
    m_fleet.servers[server.value].result = AttemptResult::Completed;
    m_fleet.runFor(120s);
    EXPECT_EQ(m_fleet.count([](const Outcome &o) { return o.ends != 1; }), 0);
}

} // namespace
} // namespace snipestall::policy
