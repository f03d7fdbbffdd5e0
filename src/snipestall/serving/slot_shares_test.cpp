#include "snipestall/serving/slot_shares.hpp"

#include "snipestall/serving/server_table.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };
constexpr int DataCentres = 4;

std::string nameOf(int instance)
{
    return "edge-" + std::to_string(instance);
}

std::map<std::string, std::string> fleetOf(int instances)
{
    std::map<std::string, std::string> dataCentres;
    for (int i = 0; i < instances; ++i)
        dataCentres[nameOf(i)] = "dc-" + std::to_string(i % DataCentres);
    return dataCentres;
}

ServerState serverWith(int slots, const std::string &key = "i-1@1")
{
    ServerState server;
    server.key = key;
    server.info.service = "ledger";
    server.info.dataCentre = "dc-1";
    server.info.slots = slots;
    return server;
}

/// The parameters are the number of instances and the slots of a server.
class SlotSharesFleet : public testing::TestWithParam<std::tuple<int, int>>
{
protected:
    [[nodiscard]] int instances() const { return std::get<0>(GetParam()); }
    [[nodiscard]] int slots() const { return std::get<1>(GetParam()); }
    /// Slots of a server that all instances together use. The first half of the instances does not
    /// know the last ones, which have just started.
    [[nodiscard]] std::size_t usedSlots(const ServerState &server, int justStarted) const
    {
        const int known = instances() - justStarted;
        std::size_t sum = 0;
        for (int i = 0; i < instances(); ++i) {
            SlotShares shares(nameOf(i));
            shares.setInstances(fleetOf(i < known / 2 ? known : instances()));
            sum += shares.ownShare(server);
        }
        return sum;
    }
};

// Guards against servers that fail because all instances together send more than they have slots
// for, each from what it knew some hundred milliseconds ago.
TEST_P(SlotSharesFleet, TogetherTheInstancesUseMostSlotsAndNoMore)
{
    for (int i = 0; i < 20; ++i) {
        const ServerState server = serverWith(slots(), "i-" + std::to_string(i));
        const std::size_t used = usedSlots(server, 0);
        EXPECT_LE(used, static_cast<std::size_t>(slots()));
        EXPECT_GE(2 * used, static_cast<std::size_t>(slots()));
    }
}

// The instances agree on most shares while some of them have not heard of new ones yet. The slots
// that are not shared out take up the difference, except for a few small servers.
TEST_P(SlotSharesFleet, UnknownInstancesHardlyChangeTheSum)
{
    constexpr int Servers = 100;
    int overrun = 0;
    for (int i = 0; i < Servers; ++i) {
        const ServerState server = serverWith(slots(), "i-" + std::to_string(i));
        overrun += usedSlots(server, instances() / 20) > static_cast<std::size_t>(slots()) ? 1 : 0;
    }
    EXPECT_LE(overrun, Servers / 10);
}

INSTANTIATE_TEST_SUITE_P(Sizes, SlotSharesFleet,
                         testing::Combine(testing::Values(1, 9, 60, 300),
                                          testing::Values(1, 6, 64)));

class SlotSharesTest : public testing::Test
{
protected:
    SlotSharesTest() { m_shares.setInstances(fleetOf(9)); }

    SlotShares m_shares { nameOf(1) };
    ServerState m_server = serverWith(64);
};

TEST_F(SlotSharesTest, OnlyServicesThatSaySoAreShared)
{
    m_server.own.inFlight = 1000;
    EXPECT_TRUE(m_shares.maySend(m_server, Start));
    EXPECT_TRUE(m_shares.named({ "ledger", 0ms }, Start));
    EXPECT_FALSE(m_shares.named({ "ledger", 0ms }, Start));
    EXPECT_FALSE(m_shares.maySend(m_server, Start));
    m_server.own.inFlight = 0;
    EXPECT_TRUE(m_shares.maySend(m_server, Start));
}

TEST_F(SlotSharesTest, TheSharingEndsAfterTheLastAnswerThatSaysSo)
{
    m_shares.named({ "ledger", 0ms }, Start);
    m_shares.named({ "ledger", 1000ms }, Start + 2s);
    EXPECT_TRUE(m_shares.isShared("ledger", Start + 4s));
    EXPECT_FALSE(m_shares.isShared("ledger", Start + 5s));
    EXPECT_TRUE(m_shares.reports(Start + 5s).empty());
    EXPECT_FALSE(m_shares.named({ "ledger", 9s }, Start + 5s));
    EXPECT_FALSE(m_shares.isShared("ledger", Start + 5s));
}

// Guards against requests that are refused by instances without a share although servers have room:
// the others are known, so that the requests can be forwarded to them.
TEST_F(SlotSharesTest, TheHoldersOfASmallServerAreKnown)
{
    const ServerState server = serverWith(6);
    const std::vector<std::string> holders = m_shares.holders(server);
    ASSERT_EQ(holders.size(), 4U);
    for (const std::string &holder : holders) {
        SlotShares shares(holder);
        shares.setInstances(fleetOf(9));
        EXPECT_EQ(shares.ownShare(server), 1U);
    }
}

TEST_F(SlotSharesTest, AnInstanceThatKnowsNoOthersTakesOneSlot)
{
    const SlotShares fresh(nameOf(1));
    EXPECT_EQ(fresh.ownShare(serverWith(64)), 1U);
}

} // namespace
} // namespace snipestall::serving
