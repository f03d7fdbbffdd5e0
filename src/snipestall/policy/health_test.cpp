#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;
using Outcome = FakeFleet::Outcome;

class HealthTest : public testing::Test
{
protected:
    HealthTest()
    {
        m_fleet.addCustomer("ferries");
        m_fleet.start();
        for (int i = 0; i < 6; ++i)
            m_fleet.addServer(8);
    }

    FakeFleet::Backend &backend(std::uint64_t server) { return m_fleet.servers.at(server); }

    int dispatchedTo(std::uint64_t server, Time since)
    {
        int count = 0;
        for (const auto &[handle, outcome] : m_fleet.outcomes) {
            if (outcome.arrived < since)
                continue;
            for (const Dispatch &dispatch : outcome.dispatches)
                count += dispatch.server.value == server ? 1 : 0;
        }
        return count;
    }

    FakeFleet m_fleet;
};

// One server of six produces tokens ten times slower, as with a throttled accelerator. It gets its
// share of the work, and one caller in six waits ten times as long, until the server is compared
// with the others.
TEST_F(HealthTest, ASlowServerIsEjected)
{
    backend(1).perToken = 200ms;
    m_fleet.load(10, 60s, [&] { return m_fleet.request("ferries"); });
    m_fleet.runFor(30s);
    const Time settled(1015s);
    const int late = m_fleet.count([&](const Outcome &o) {
        return o.arrived >= settled && (!o.completed || *o.completed - o.arrived > 5s);
    });
    EXPECT_LE(late, 5);
    EXPECT_LE(dispatchedTo(1, settled), 5);
}

TEST_F(HealthTest, ARecoveredServerIsReadmitted)
{
    backend(1).perToken = 200ms;
    m_fleet.load(14, 30s, [&] { return m_fleet.request("ferries"); });
    backend(1).perToken = 20ms;
    m_fleet.load(14, 120s, [&] { return m_fleet.request("ferries"); });
    EXPECT_GE(dispatchedTo(1, m_fleet.now - 20s), 20);
}

// One server answers each request at once with an error. It always looks idle and would get nearly
// all of the work; it must get at most its own share until it is ejected.
TEST_F(HealthTest, AServerThatFailsFastGetsNoExtraWork)
{
    backend(1).result = AttemptResult::Rejected;
    m_fleet.load(15, 30s, [&] { return m_fleet.request("ferries"); });
    EXPECT_LE(dispatchedTo(1, Time {}), 15);
}

TEST_F(HealthTest, CallersOfADecliningServerAreAnsweredByOthers)
{
    backend(1).result = AttemptResult::Declined;
    m_fleet.load(15, 30s, [&] { return m_fleet.request("ferries"); });
    m_fleet.runFor(30s);
    EXPECT_EQ(m_fleet.count([](const Outcome &o) { return !o.completed || o.wait() > 1200ms; }), 0);
}

// One server freezes with its connections open. No attempt fails there and no token arrives, so its
// callers would wait until their deadlines.
TEST_F(HealthTest, RequestsOnAFrozenServerAreAnsweredElsewhere)
{
    m_fleet.load(10, 5s, [&] { return m_fleet.request("ferries"); });
    backend(1).frozen = true;
    m_fleet.load(10, 30s, [&] { return m_fleet.request("ferries"); });
    m_fleet.runFor(30s);
    EXPECT_EQ(m_fleet.count(
                  [](const Outcome &o) { return !o.completed || *o.completed - o.arrived > 15s; }),
              0);
}

// Half of the pool becomes slow. Ejecting all slow servers would put their load on the other half,
// so at most a third is ejected and the rest keeps serving.
TEST_F(HealthTest, AtMostAThirdOfAPoolIsEjected)
{
    for (std::uint64_t server = 1; server <= 3; ++server)
        backend(server).perToken = 250ms;
    std::uint32_t fewest = 6;
    for (int second = 0; second < 60; ++second) {
        m_fleet.load(8, 1s, [&] { return m_fleet.request("ferries"); });
        fewest = std::min(fewest, m_fleet.world->summaries(m_fleet.now).front().servers);
    }
    EXPECT_EQ(fewest, 4U);
}

// A caller sends only requests that every server rejects. By failures alone all servers would be
// ejected, and no other caller would be served.
TEST_F(HealthTest, RequestsThatAllServersRejectEjectNone)
{
    for (std::uint64_t server = 1; server <= 6; ++server)
        backend(server).result = AttemptResult::Rejected;
    m_fleet.load(10, 10s, [&] { return m_fleet.request("ferries"); });
    EXPECT_EQ(m_fleet.world->summaries(m_fleet.now).front().servers, 6U);
}

} // namespace
} // namespace snipestall::policy
