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
    void settle(FleetDemand demand, SteadyTime now)
    {
        for (const FleetOrder &order : m_planner.plan(m_counts, demand, now)) {
            m_planner.accepted(order, now);
            FleetCount &count = m_counts[order.dataCentre];
            (order.reclaimable ? count.reclaimable : count.onDemand) = order.count;
        }
    }

    [[nodiscard]] int total(int FleetCount::*kind) const
    {
        int sum = 0;
        for (const auto &[dataCentre, count] : m_counts)
            sum += count.*kind;
        return sum;
    }

    const FleetDemand m_unknown { 0, 0, true };
    std::map<std::string, FleetCount> m_counts { { "a", { 4, 0 } },
                                                 { "b", { 4, 0 } },
                                                 { "c", { 4, 0 } } };
    FleetPlanner m_planner { policy(), { { "a", 4 }, { "b", 4 }, { "c", 4 } } };
};

TEST_F(FleetPlannerTest, ReclaimableServersReplaceOnDemandOnesOnlyOnceTheyServe)
{
    for (const FleetOrder &order : m_planner.plan(m_counts, m_unknown, Start)) {
        EXPECT_EQ(order.count, order.reclaimable ? 9 : 4);
        m_planner.accepted(order, Start);
    }
    EXPECT_TRUE(m_planner.plan(m_counts, m_unknown, Start + 1s).empty());
    for (auto &[dataCentre, count] : m_counts)
        count.reclaimable = 9;
    for (const FleetOrder &order : m_planner.plan(m_counts, m_unknown, Start + 7s)) {
        EXPECT_FALSE(order.reclaimable);
        EXPECT_EQ(order.count, 0);
    }
}

TEST_F(FleetPlannerTest, BeforeTheFirstRequestNoOnDemandServerIsNeeded)
{
    settle({ 0, 0, false }, Start);
    EXPECT_EQ(total(&FleetCount::onDemand), 0);
    EXPECT_EQ(total(&FleetCount::reclaimable), 27); // half as many again, for two of three
}

// Requests wait for seconds after reclaimable servers were taken back: no others are to be had for
// a while, and nothing takes their place.
TEST_F(FleetPlannerTest, OnDemandServersFillUpToWhatTheDemandNeeds)
{
    const FleetDemand demand { 6, 6, true };
    settle(demand, Start);
    for (auto &[dataCentre, count] : m_counts)
        count = { 0, dataCentre == "a" ? 0 : 3 };
    settle(demand, Start + 20s);
    EXPECT_EQ(total(&FleetCount::onDemand), 2); // 6 / 0.8 less the 6 that are left
}

TEST_F(FleetPlannerTest, LowDemandNeedsNoOnDemandServersInAReclaim)
{
    const FleetDemand demand { 2, 2, true };
    settle(demand, Start);
    m_counts["a"] = { 0, 0 };
    settle(demand, Start + 20s);
    EXPECT_EQ(total(&FleetCount::onDemand), 0);
}

TEST_F(FleetPlannerTest, OnDemandServersGoWhereTheyAreCheapest)
{
    ScalingPolicy priced = policy();
    priced.dataCentrePrices = { { "a", 1.2 }, { "b", 0.8 }, { "c", 1.0 } };
    FleetPlanner planner(priced, { { "a", 4 }, { "b", 4 }, { "c", 4 } });
    std::map<std::string, FleetCount> counts { { "a", {} }, { "b", {} }, { "c", {} } };
    for (const FleetOrder &order : planner.plan(counts, { 3.2, 3.2, true }, Start)) {
        if (order.reclaimable)
            continue;
        EXPECT_EQ(order.count, order.dataCentre == "b" ? 2 : 1) << order.dataCentre;
    }
}

TEST_F(FleetPlannerTest, ARefusedOrderIsRepeatedAfterAPauseOnly)
{
    const FleetOrder wanted { "a", 9, true };
    auto orders = m_planner.plan(m_counts, m_unknown, Start);
    ASSERT_NE(std::find(orders.begin(), orders.end(), wanted), orders.end());
    for (const FleetOrder &order : orders)
        m_planner.refused(order, Start);
    EXPECT_TRUE(m_planner.plan(m_counts, m_unknown, Start + 1s).empty());
    orders = m_planner.plan(m_counts, m_unknown, Start + 2s);
    EXPECT_NE(std::find(orders.begin(), orders.end(), wanted), orders.end());
}

TEST_F(FleetPlannerTest, TheFleetGrowsUnderPressureUpToItsLimitAndShrinksBackInCalm)
{
    SteadyTime now = Start;
    for (int i = 0; i < 400; ++i, now += 300ms)
        m_planner.pressure(0.9, now);
    EXPECT_EQ(m_planner.scale(), 4);
    settle(m_unknown, now);
    EXPECT_EQ(m_counts["a"].reclaimable, 10);
    for (int i = 0; i < 2000; ++i, now += 300ms)
        m_planner.pressure(0.1, now);
    EXPECT_EQ(m_planner.scale(), 1);
}

// A flood of one customer makes requests wait for some seconds; servers at five times the price
// are ordered for it, start when it is over and are paid for until the pressure is forgotten.
TEST_F(FleetPlannerTest, PressureAloneOrdersNoOnDemandServers)
{
    const FleetDemand demand { 6, 6, true };
    SteadyTime now = Start;
    for (int i = 0; i < 60; ++i, now += 300ms)
        m_planner.pressure(0.9, now);
    ASSERT_GT(m_planner.scale(), 1.5);
    for (auto &[dataCentre, count] : m_counts)
        count = { 0, dataCentre == "a" ? 0 : 5 };
    settle(demand, now);
    EXPECT_EQ(total(&FleetCount::onDemand), 0); // 6 / 0.8 are there
}

/// Four data centres lose their reclaimable servers one after the other, with none to be had
/// meanwhile.
class ReclaimWaveTest : public testing::Test
{
protected:
    /// Plans once, with orders of reclaimable servers refused where they have been taken back.
    void plan(SteadyTime now)
    {
        for (const FleetOrder &order : m_planner.plan(m_counts, m_demand, now)) {
            if (order.reclaimable && m_counts[order.dataCentre].reclaimable == 0) {
                m_planner.refused(order, now);
                continue;
            }
            m_planner.accepted(order, now);
            (order.reclaimable ? m_counts[order.dataCentre].reclaimable
                               : m_onDemand[order.dataCentre]) = order.count;
        }
    }

    void takeBack(const std::string &dataCentre, SteadyTime now)
    {
        m_counts[dataCentre].reclaimable = 0;
        plan(now);
        plan(now + 300ms);
    }

    [[nodiscard]] int onDemand() const
    {
        int sum = 0;
        for (const auto &[dataCentre, count] : m_onDemand)
            sum += count;
        return sum;
    }

    /// What 6 servers carry that have their prompts cached, fully used, or 12 that have not; 8
    /// reclaimable ones run in each data centre.
    const FleetDemand m_demand { 6, 6, true };
    std::map<std::string, FleetCount> m_counts {
        { "a", { 0, 8 } }, { "b", { 0, 8 } }, { "c", { 0, 8 } }, { "d", { 0, 8 } }
    };
    std::map<std::string, int> m_onDemand;
    FleetPlanner m_planner { policy(), { { "a", 4 }, { "b", 4 }, { "c", 4 }, { "d", 4 } } };
};

// For two seconds no server is left, and for fifteen more nearly every caller is served late: all
// data centres' reclaimable servers were taken back one after the other, and on-demand ones were
// ordered when the last ones went.
TEST_F(ReclaimWaveTest, WhatMayBeLostNextIsReplacedBeforeItIsLost)
{
    plan(Start);
    takeBack("a", Start + 20s);
    EXPECT_EQ(onDemand(), 0); // 16 are left if another one goes
    takeBack("b", Start + 26s);
    EXPECT_EQ(onDemand(), 0); // 8 would be left
    takeBack("c", Start + 32s);
    EXPECT_EQ(onDemand(), 12); // nothing else may be left
    EXPECT_EQ(m_planner.estimate(), FleetEstimate::Insurance);
}

TEST_F(ReclaimWaveTest, TheInsuranceEndsWithTheShortage)
{
    plan(Start);
    takeBack("a", Start + 20s);
    takeBack("b", Start + 26s);
    for (auto &[dataCentre, count] : m_counts)
        count = { m_onDemand[dataCentre], 8 };
    plan(Start + 40s);
    plan(Start + 50s);
    EXPECT_EQ(m_planner.estimate(), FleetEstimate::Demand);
    EXPECT_EQ(onDemand(), 0);
}

TEST_F(ReclaimWaveTest, PressureDoesNotGrowAFleetThatCannotBeHad)
{
    plan(Start);
    takeBack("a", Start + 20s);
    SteadyTime now = Start + 21s;
    for (int i = 0; i < 60; ++i, now += 300ms)
        m_planner.pressure(0.9, now);
    EXPECT_EQ(m_planner.scale(), 1);
}

TEST_F(FleetPlannerTest, OneSlowMomentDoesNotGrowTheFleetTwice)
{
    m_planner.pressure(0.9, Start);
    const double grown = m_planner.scale();
    m_planner.pressure(0.9, Start + 1s);
    EXPECT_EQ(m_planner.scale(), grown);
}

TEST_F(FleetPlannerTest, ADipIsNotFollowedAtOnce)
{
    settle({ 7, 7, true }, Start);
    const int before = total(&FleetCount::reclaimable);
    settle({ 1, 1, true }, Start + 1s);
    EXPECT_EQ(total(&FleetCount::reclaimable), before);
    settle({ 1, 1, true }, Start + 10s);
    EXPECT_LT(total(&FleetCount::reclaimable), before);
}

} // namespace
} // namespace snipestall::serving
