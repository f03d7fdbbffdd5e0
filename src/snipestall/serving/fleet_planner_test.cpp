#include "snipestall/serving/fleet_planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

ScalingPolicy policy()
{
    ScalingPolicy made;
    made.least = 1;
    made.most = 10;
    made.bootTime = 4s;
    made.reclaimablePrice = 0.2;
    return made;
}

class FleetPlannerTest : public testing::Test
{
protected:
    /// Carries out all orders at once.
    void settle(SteadyTime now)
    {
        for (const FleetOrder &order : m_planner.plan(m_counts, now)) {
            m_planner.accepted(order, now);
            FleetCount &count = m_counts[order.dataCentre];
            (order.reclaimable ? count.reclaimable : count.onDemand) = order.count;
        }
    }

    std::map<std::string, FleetCount> m_counts { { "east", { 4, 0 } }, { "west", { 4, 0 } } };
    FleetPlanner m_planner { policy(), { { "east", 4 }, { "west", 4 } } };
};

TEST_F(FleetPlannerTest, ReclaimableServersReplaceOnDemandOnesOnlyOnceTheyServe)
{
    const auto first = m_planner.plan(m_counts, Start);
    for (const FleetOrder &order : first) {
        EXPECT_EQ(order.count, order.reclaimable ? 6 : 4);
        m_planner.accepted(order, Start);
    }
    EXPECT_TRUE(m_planner.plan(m_counts, Start + 1s).empty());
    m_counts = { { "east", { 4, 6 } }, { "west", { 4, 0 } } };
    const auto second = m_planner.plan(m_counts, Start + 4s);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0], (FleetOrder { "east", 0, false }));
}

// Requests wait for seconds after a data centre's reclaimable servers were all taken back: no
// others are to be had for a while, and nothing takes their place.
TEST_F(FleetPlannerTest, OnDemandServersTakeThePlaceOfReclaimedOnes)
{
    settle(Start);
    settle(Start + 5s);
    m_counts["east"].reclaimable = 0;
    const auto orders = m_planner.plan(m_counts, Start + 20s);
    EXPECT_NE(std::find(orders.begin(), orders.end(), FleetOrder { "east", 4, false }),
              orders.end());
}

TEST_F(FleetPlannerTest, ARefusedOrderIsRepeatedAfterAPauseOnly)
{
    const FleetOrder wanted { "east", 6, true };
    auto orders = m_planner.plan(m_counts, Start);
    ASSERT_NE(std::find(orders.begin(), orders.end(), wanted), orders.end());
    for (const FleetOrder &order : orders)
        m_planner.refused(order, Start);
    EXPECT_TRUE(m_planner.plan(m_counts, Start + 1s).empty());
    orders = m_planner.plan(m_counts, Start + 2s);
    EXPECT_NE(std::find(orders.begin(), orders.end(), wanted), orders.end());
}

TEST_F(FleetPlannerTest, TheFleetGrowsUnderPressureUpToItsLimitAndShrinksBackInCalm)
{
    SteadyTime now = Start;
    for (int i = 0; i < 400; ++i, now += 300ms)
        m_planner.pressure(0.9, now);
    EXPECT_EQ(m_planner.scale(), 4);
    settle(now);
    EXPECT_EQ(m_counts["east"].reclaimable, 10);
    for (int i = 0; i < 2000; ++i, now += 300ms)
        m_planner.pressure(0.1, now);
    EXPECT_EQ(m_planner.scale(), 1);
}

TEST_F(FleetPlannerTest, OneSlowMomentDoesNotShrinkOrGrowTwice)
{
    m_planner.pressure(0.9, Start);
    const double grown = m_planner.scale();
    m_planner.pressure(0.9, Start + 1s);
    EXPECT_EQ(m_planner.scale(), grown);
}

} // namespace
} // namespace snipestall::serving
