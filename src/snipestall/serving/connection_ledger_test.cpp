#include "snipestall/serving/connection_ledger.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;
using Id = ConnectionLedger::Id;

constexpr std::size_t Megabyte = 1024 * 1024;
constexpr std::size_t Limit = 16 * Megabyte;
/// The part of the limit that large bodies may use.
constexpr std::size_t LargeLimit = 12 * Megabyte;

class ConnectionLedgerTest : public testing::Test
{
protected:
    Id open(ConnectionStage stage)
    {
        const Id id = m_ledger.open(m_now);
        m_ledger.enter(id, stage, m_now);
        return id;
    }

    /// Opens connections on which a megabyte has arrived, until no more fit.
    std::vector<Id> fill()
    {
        std::vector<Id> ids;
        while (true) {
            const Id id = open(ConnectionStage::Arriving);
            if (!m_ledger.hold(id, Megabyte)) {
                m_ledger.close(id);
                return ids;
            }
            ids.push_back(id);
        }
    }

    ConnectionLedger m_ledger { Limit };
    SteadyTime m_now { 1000s };
};

// Guards against bodies that are each legal and together exceed the memory.
TEST_F(ConnectionLedgerTest, BodiesTogetherHaveALimit)
{
    const std::vector<Id> ids = fill();
    EXPECT_EQ(ids.size(), LargeLimit / Megabyte);
    EXPECT_EQ(m_ledger.held(), LargeLimit);
    m_ledger.release(ids.front());
    EXPECT_TRUE(m_ledger.hold(open(ConnectionStage::Arriving), Megabyte));
}

// Guards against large bodies that keep out all ordinary requests.
TEST_F(ConnectionLedgerTest, OrdinaryBodiesHaveRoomBesideLargeOnes)
{
    fill();
    const Id ordinary = open(ConnectionStage::Arriving);
    EXPECT_TRUE(m_ledger.hold(ordinary, ConnectionLedger::OrdinaryBytes));
    EXPECT_FALSE(m_ledger.hold(ordinary, ConnectionLedger::OrdinaryBytes + 1));
    EXPECT_EQ(m_ledger.held(), LargeLimit + ConnectionLedger::OrdinaryBytes);
}

// Guards against unfinished bodies that keep all others out until an idle limit.
TEST_F(ConnectionLedgerTest, ABodyThatStopsMakesRoom)
{
    const std::vector<Id> ids = fill();
    m_now += 300ms;
    const Id next = open(ConnectionStage::Arriving);
    ASSERT_FALSE(m_ledger.hold(next, Megabyte));
    EXPECT_FALSE(m_ledger.closeForMemory(next, Megabyte, m_now).empty());
    EXPECT_TRUE(m_ledger.hold(next, Megabyte));
}

// Guards against clients that send single bytes so as to count as active.
TEST_F(ConnectionLedgerTest, SingleBytesAreNoProgress)
{
    const std::vector<Id> ids = fill();
    for (int i = 1; i <= 30; ++i) {
        m_now += 10ms;
        for (const Id id : ids)
            m_ledger.arrived(id, static_cast<std::size_t>(i), m_now);
    }
    const Id next = open(ConnectionStage::Arriving);
    EXPECT_FALSE(m_ledger.closeForMemory(next, Megabyte, m_now).empty());
}

// Guards against bodies that arrive steadily and are given up for newcomers, so that none is ever
// whole.
TEST_F(ConnectionLedgerTest, ABodyThatArrivesIsNotGivenUp)
{
    fill();
    m_now += 100ms;
    const Id next = open(ConnectionStage::Arriving);
    EXPECT_TRUE(m_ledger.closeForMemory(next, Megabyte, m_now).empty());
    EXPECT_EQ(m_ledger.held(), LargeLimit);
}

// Guards against a request that has its memory and is taken for stalled while it arrives.
TEST_F(ConnectionLedgerTest, BytesThatArriveAreProgress)
{
    const std::vector<Id> ids = fill();
    m_now += 300ms;
    for (const Id id : ids)
        m_ledger.arrived(id, Megabyte / 2, m_now);
    const Id next = open(ConnectionStage::Arriving);
    EXPECT_TRUE(m_ledger.closeForMemory(next, Megabyte, m_now).empty());
}

// Guards against a request that is given up while it runs.
TEST_F(ConnectionLedgerTest, ARunningRequestIsNotGivenUp)
{
    for (const Id id : fill())
        m_ledger.enter(id, ConnectionStage::Running, m_now);
    m_now += 60s;
    const Id next = open(ConnectionStage::Arriving);
    EXPECT_TRUE(m_ledger.closeForMemory(next, Megabyte, m_now).empty());
    m_now += 1s;
    EXPECT_EQ(m_ledger.closeForConnections(m_now), std::vector<Id> { next });
}

// Guards against a small machine that can never serve the largest body of the configuration.
TEST_F(ConnectionLedgerTest, TwoOfTheLargestBodiesFit)
{
    m_ledger.setLargestBody(Limit);
    for (int i = 0; i < 2; ++i)
        EXPECT_TRUE(m_ledger.hold(open(ConnectionStage::Arriving), Limit));
    EXPECT_FALSE(m_ledger.hold(open(ConnectionStage::Arriving), Limit));
}

// Guards against idle connections that are closed while others hold unfinished requests.
TEST_F(ConnectionLedgerTest, UnfinishedRequestsAreClosedBeforeIdleConnections)
{
    const Id idle = open(ConnectionStage::Idle);
    m_now += 10s;
    const Id unfinished = open(ConnectionStage::Arriving);
    m_now += 100ms;
    EXPECT_EQ(m_ledger.closeForConnections(m_now), std::vector<Id> { idle });
    m_now += 200ms;
    EXPECT_EQ(m_ledger.closeForConnections(m_now), std::vector<Id> { unfinished });
}

} // namespace
} // namespace snipestall::serving
