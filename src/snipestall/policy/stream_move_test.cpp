#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

#include <numeric>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;
using Outcome = FakeFleet::Outcome;

class StreamMoveTest : public testing::Test
{
protected:
    StreamMoveTest()
    {
        m_fleet.addCustomer("newsroom");
        m_fleet.start();
    }

    RequestArrived review(std::uint32_t prompt = 4000)
    {
        RequestArrived event = m_fleet.request("newsroom", Urgency::Patient);
        event.promptTokens = prompt;
        event.maxTokens = 1000;
        event.deadline = m_fleet.now + 600s;
        return event;
    }

    int moves(MoveMethod method) const
    {
        int count = 0;
        for (const auto &[handle, outcome] : m_fleet.outcomes) {
            for (const MoveStream &move : outcome.moves)
                count += move.method == method ? 1 : 0;
        }
        return count;
    }

    std::uint32_t recomputed() const
    {
        std::uint32_t tokens = 0;
        for (const auto &[handle, outcome] : m_fleet.outcomes)
            tokens += outcome.recomputed;
        return tokens;
    }

    int notAnsweredOnce() const
    {
        return m_fleet.count([](const Outcome &o) { return !o.completed || o.ends != 1; });
    }

    FakeFleet m_fleet;
};

TEST_F(StreamMoveTest, StreamsThatEndWithinTheNoticeStay)
{
    const ServerHandle server = m_fleet.addServer(4);
    m_fleet.send(m_fleet.request("newsroom"));
    m_fleet.runFor(1s);
    m_fleet.addServer(4);
    m_fleet.reclaim(server, 5s);
    m_fleet.runFor(30s);
    EXPECT_EQ(moves(MoveMethod::Resume) + moves(MoveMethod::ExportKv), 0);
    EXPECT_EQ(notAnsweredOnce(), 0);
    EXPECT_EQ(recomputed(), 0U);
}

// A review has run for ten seconds when its server gets notice. If it were cut off, its prompt and
// its output so far would be recomputed.
TEST_F(StreamMoveTest, ALongStreamIsMovedWithItsCache)
{
    const ServerHandle server = m_fleet.addServer(4);
    m_fleet.send(review());
    m_fleet.runFor(10s);
    m_fleet.addServer(4);
    m_fleet.reclaim(server, 5s);
    m_fleet.runFor(60s);
    EXPECT_EQ(moves(MoveMethod::ExportKv), 1);
    EXPECT_EQ(notAnsweredOnce(), 0);
    EXPECT_EQ(recomputed(), 0U);
}

// The notice is too short to export all streams; those that cost most to recompute should be
// exported.
TEST_F(StreamMoveTest, AShortNoticeIsUsedForTheStreamsCostliestToRecompute)
{
    const ServerHandle server = m_fleet.addServer(8);
    for (std::uint32_t i = 1; i <= 6; ++i)
        m_fleet.send(review(i * 1000));
    m_fleet.runFor(5s);
    for (int i = 0; i < 4; ++i)
        m_fleet.addServer(8);
    m_fleet.reclaim(server, 1s);
    m_fleet.runFor(120s);
    EXPECT_EQ(notAnsweredOnce(), 0);
    EXPECT_GE(moves(MoveMethod::ExportKv), 1);
    EXPECT_GE(moves(MoveMethod::Resume), 1);
    for (const auto &[handle, outcome] : m_fleet.outcomes) {
        const bool dearest = outcome.request.promptTokens == 6000;
        EXPECT_TRUE(!dearest || outcome.recomputed == 0);
    }
}

// Two servers of four get notice at once. If all their streams were imported at the same moment,
// the streams of the surviving servers would stall.
TEST_F(StreamMoveTest, ATargetImportsTwoAtATime)
{
    std::vector<ServerHandle> servers;
    servers.reserve(4);
    for (int i = 0; i < 4; ++i)
        servers.push_back(m_fleet.addServer(16));
    for (int i = 0; i < 16; ++i)
        m_fleet.send(review());
    m_fleet.runFor(5s);
    const std::size_t before = m_fleet.log.size();
    m_fleet.give(std::vector<Event> { ServerLeaving { servers[0], 10s },
                                      ServerLeaving { servers[1], 10s } });
    const auto isMove = [](const Command &c) { return std::holds_alternative<MoveStream>(c); };
    const auto first = m_fleet.log.begin() + static_cast<std::ptrdiff_t>(before);
    EXPECT_EQ(std::count_if(first, m_fleet.log.end(), isMove), 4);
    m_fleet.runFor(60s);
    EXPECT_EQ(moves(MoveMethod::ExportKv) + moves(MoveMethod::Resume), 8);
}

// Half of the pool is reclaimed at five seconds' notice, under a load that the rest can just carry,
// and no replacement comes. Each accepted request must be answered exactly once, and little may be
// recomputed.
TEST_F(StreamMoveTest, AWaveOfReclaimsLosesNothing)
{
    std::vector<ServerHandle> servers;
    servers.reserve(8);
    for (int i = 0; i < 8; ++i)
        servers.push_back(m_fleet.addServer(8));
    for (int i = 0; i < 24; ++i)
        m_fleet.send(review());
    m_fleet.load(8, 10s, [&] { return m_fleet.request("newsroom", Urgency::Patient); });
    for (int i = 0; i < 4; ++i)
        m_fleet.reclaim(servers[i], 5s);
    m_fleet.load(8, 30s, [&] { return m_fleet.request("newsroom", Urgency::Patient); });
    m_fleet.runFor(300s);
    EXPECT_EQ(notAnsweredOnce(), 0);
    EXPECT_TRUE(m_fleet.faults.empty());
    const std::uint32_t lostWithoutMoves = 12 * (4000 + 500);
    EXPECT_LE(recomputed(), lostWithoutMoves / 4);
}

// A balance change runs on a server under notice. If it were started again elsewhere, it would run
// twice.
TEST_F(StreamMoveTest, ANonIdempotentCallIsNeverMoved)
{
    const ServerHandle server = m_fleet.addServer(4);
    RequestArrived event = review();
    event.idempotent = false;
    const RequestHandle request = m_fleet.send(event);
    m_fleet.addServer(4);
    m_fleet.runFor(1s);
    m_fleet.reclaim(server, 5s);
    m_fleet.runFor(60s);
    EXPECT_EQ(m_fleet.of(request).dispatches.size() + m_fleet.of(request).moves.size(), 1U);
    ASSERT_TRUE(m_fleet.of(request).refused);
    EXPECT_EQ(m_fleet.of(request).refused->reason, RefusalReason::RetriesExhausted);
}

// The whole data centre is under notice; only a peer elsewhere has slots.
TEST_F(StreamMoveTest, WithoutATargetHereAStreamGoesToAPeer)
{
    const ServerHandle server = m_fleet.addServer(4);
    const RequestHandle request = m_fleet.send(review());
    m_fleet.runFor(5s);
    m_fleet.reclaim(server, 4s);
    m_fleet.runFor(1900ms);
    PeerSummary summary { { 7 }, "trabzon-1", "trabzon-hall", {} };
    summary.pools.push_back({ "airtime", 8, 0, 2, 0ms, {}, {} });
    m_fleet.give(summary);
    m_fleet.runFor(1s);
    EXPECT_EQ(m_fleet.of(request).forwards.size(), 1U);
}

} // namespace
} // namespace snipestall::policy
