#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

#include <set>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;
using Outcome = FakeFleet::Outcome;

class PlacementTest : public testing::Test
{
protected:
    PlacementTest()
    {
        m_fleet.addCustomer("ferries");
        m_fleet.start();
    }

    RequestArrived withPrefix(std::uint64_t prefix)
    {
        RequestArrived event = m_fleet.request("ferries");
        event.prefix = { 1, prefix };
        return event;
    }

    std::uint64_t serverOf(RequestHandle request)
    {
        const std::vector<Dispatch> &dispatches = m_fleet.of(request).dispatches;
        return dispatches.empty() ? 0 : dispatches.front().server.value;
    }

    FakeFleet m_fleet;
};

TEST_F(PlacementTest, ARepeatedPrefixGoesWhereItIsCached)
{
    for (int i = 0; i < 4; ++i)
        m_fleet.addServer(8);
    for (std::uint64_t prefix = 100; prefix < 120; ++prefix) {
        const std::uint64_t first = serverOf(m_fleet.send(withPrefix(prefix)));
        m_fleet.runFor(5s);
        EXPECT_EQ(serverOf(m_fleet.send(withPrefix(prefix))), first);
        m_fleet.runFor(5s);
    }
}

TEST_F(PlacementTest, ACacheEventMovesTheNextRequest)
{
    m_fleet.addServer(8);
    const ServerHandle second = m_fleet.addServer(8);
    m_fleet.give(CacheChanged { second, 500, true });
    EXPECT_EQ(serverOf(m_fleet.send(withPrefix(500))), second.value);
}

// Half of a full load shares one prompt. If all of these requests went to the one server that holds
// the prefix, they would queue there while the other servers idle.
TEST_F(PlacementTest, AHotPrefixSpreadsBeforeItsHolderIsFull)
{
    for (int i = 0; i < 4; ++i)
        m_fleet.addServer(8);
    std::uint64_t n = 0;
    m_fleet.load(12, 30s, [&] {
        ++n;
        return withPrefix(n % 2 == 0 ? 500 : 1000 + n);
    });
    m_fleet.runFor(30s);
    EXPECT_EQ(m_fleet.count([](const Outcome &o) { return !o.completed || o.wait() > 1200ms; }), 0);
    std::set<std::uint64_t> homes;
    for (const auto &[handle, outcome] : m_fleet.outcomes) {
        if (outcome.request.prefix.back() == 500)
            homes.insert(outcome.dispatches.front().server.value);
    }
    EXPECT_LE(homes.size(), 4U);
}

TEST_F(PlacementTest, LongWorkPrefersTheClassThatIsNotReclaimed)
{
    m_fleet.settings->classes.push_back({ "samsun-hall", "spot", true, 0.3, 12.0 });
    m_fleet.settings->classes.push_back({ "samsun-hall", "demand", false, 1.0, 0.0 });
    m_fleet.start();
    const ServerHandle spot = m_fleet.addServer(8, "spot");
    const ServerHandle demand = m_fleet.addServer(8, "demand");
    RequestArrived review = m_fleet.request("ferries", Urgency::Patient);
    review.maxTokens = 4000;
    review.deadline = m_fleet.now + 600s;
    m_fleet.send(m_fleet.request("ferries"));
    EXPECT_EQ(serverOf(m_fleet.send(review)), demand.value);
    EXPECT_EQ(serverOf(m_fleet.send(m_fleet.request("ferries"))), spot.value);
}

// The more requests run concurrently, the slower each token is. With all slots in use, the engine
// takes 41 ms per token where the target is 35 ms, for every stream on it.
TEST_F(PlacementTest, ConcurrencyFallsUntilTokensMeetTheTarget)
{
    const ServerHandle server = m_fleet.addServer(8);
    m_fleet.servers[server.value].crowding = 0.15;
    m_fleet.load(8, 60s, [&] {
        RequestArrived event = m_fleet.request("ferries");
        event.deadline = m_fleet.now + 20s;
        return event;
    });
    int late = 0;
    int all = 0;
    for (const auto &[handle, outcome] : m_fleet.outcomes) {
        if (!outcome.completed || *outcome.completed < Time(1030s))
            continue;
        ++all;
        late += *outcome.completed - *outcome.firstToken > 100 * 35ms ? 1 : 0;
    }
    EXPECT_GE(all, 30);
    EXPECT_LE(late, all / 10);
}

TEST_F(PlacementTest, ConcurrencyOfAFastServerStaysAtItsSlots)
{
    const ServerHandle server = m_fleet.addServer(8);
    m_fleet.load(8, 30s, [&] { return m_fleet.request("ferries", Urgency::Urgent); });
    EXPECT_EQ(m_fleet.servers[server.value].peak, 8U);
    EXPECT_EQ(m_fleet.world->summaries(m_fleet.now).front().freeSlots, 0U);
}

// Ownership of a server moves, and for a moment requests of the former owner still run there. The
// new owner knows of them only from the server's report.
TEST_F(PlacementTest, AReportOfForeignWorkTakesSlotsAway)
{
    const ServerHandle server = m_fleet.addServer(4);
    m_fleet.give(ServerReport { server, 3, 0, 100ms });
    for (int i = 0; i < 3; ++i)
        m_fleet.send(m_fleet.request("ferries", Urgency::Patient));
    EXPECT_EQ(m_fleet.servers[server.value].dispatched, 1U);
    m_fleet.give(ServerReport { server, 1, 0, 100ms });
    EXPECT_EQ(m_fleet.servers[server.value].dispatched, 3U);
}

// A report lags or is wrong: it says that the server is idle while every slot is in use. If the
// policy relied on it, the server would be overfilled.
TEST_F(PlacementTest, AReportOfAnIdleServerAddsNoSlots)
{
    const ServerHandle server = m_fleet.addServer(2);
    for (int i = 0; i < 3; ++i)
        m_fleet.send(m_fleet.request("ferries"));
    m_fleet.give(ServerReport { server, 0, 0, 100ms });
    EXPECT_TRUE(m_fleet.faults.empty());
    EXPECT_EQ(m_fleet.servers[server.value].dispatched, 2U);
}

} // namespace
} // namespace snipestall::policy
