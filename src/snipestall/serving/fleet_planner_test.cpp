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
    made.minServers = 1;
    made.maxServers = 10;
    made.bootTime = 4s;
    made.reclaimablePrice = 0.2;
    return made;
}

class FleetPlannerTest : public testing::Test
{
protected:
    /// Fulfils all orders at once.
    void planAndFulfil(FleetDemand demand, SteadyTime now)
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
    planAndFulfil({ 0, 0, false }, Start);
    EXPECT_EQ(total(&FleetCount::onDemand), 0);
    EXPECT_EQ(total(&FleetCount::reclaimable), 27); // 12 * 1.5 servers in two of three data centres
}

// Guards against requests that wait for seconds after reclaimable servers were reclaimed: no others
// are available for a while, and nothing replaces them.
TEST_F(FleetPlannerTest, OnDemandServersFillUpToWhatTheDemandNeeds)
{
    const FleetDemand demand { 6, 6, true };
    planAndFulfil(demand, Start);
    for (auto &[dataCentre, count] : m_counts)
        count = { 0, dataCentre == "a" ? 0 : 3 };
    planAndFulfil(demand, Start + 20s);
    EXPECT_EQ(total(&FleetCount::onDemand), 2); // 6 / 0.8 minus the 6 that remain
}

TEST_F(FleetPlannerTest, LowDemandNeedsNoOnDemandServersDuringAReclaim)
{
    const FleetDemand demand { 2, 2, true };
    planAndFulfil(demand, Start);
    m_counts["a"] = { 0, 0 };
    planAndFulfil(demand, Start + 20s);
    EXPECT_EQ(total(&FleetCount::onDemand), 0);
}

TEST_F(FleetPlannerTest, OnDemandServersAreOrderedWhereTheyAreCheapest)
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

TEST_F(FleetPlannerTest, TheFleetGrowsUnderPressureUpToItsLimitAndShrinksAfterIt)
{
    SteadyTime now = Start;
    for (int i = 0; i < 400; ++i, now += 300ms)
        m_planner.updatePressure(0.9, now);
    EXPECT_EQ(m_planner.scale(), 4);
    planAndFulfil(m_unknown, now);
    EXPECT_EQ(m_counts["a"].reclaimable, 10);
    for (int i = 0; i < 2000; ++i, now += 300ms)
        m_planner.updatePressure(0.1, now);
    EXPECT_EQ(m_planner.scale(), 1);
}

// Guards against servers that are ordered at five times the price because a flood of one customer
// makes requests wait for some seconds: they start when the flood is over and are paid for until
// the pressure has decayed.
TEST_F(FleetPlannerTest, PressureAloneOrdersNoOnDemandServers)
{
    const FleetDemand demand { 6, 6, true };
    SteadyTime now = Start;
    for (int i = 0; i < 60; ++i, now += 300ms)
        m_planner.updatePressure(0.9, now);
    ASSERT_GT(m_planner.scale(), 1.5);
    for (auto &[dataCentre, count] : m_counts)
        count = { 0, dataCentre == "a" ? 0 : 5 };
    planAndFulfil(demand, now);
    EXPECT_EQ(total(&FleetCount::onDemand), 0); // 6 / 0.8 are present
}

/// Four data centres lose their reclaimable servers one after the other, and no others are
/// available meanwhile.
class ReclaimWaveTest : public testing::Test
{
protected:
    /// Plans once; orders of reclaimable servers are refused where they have been reclaimed.
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

    void reclaim(const std::string &dataCentre, SteadyTime now)
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

    /// The load of 6 fully used servers that have the prompts cached, or of 12 that have not; 8
    /// reclaimable servers run in each data centre.
    const FleetDemand m_demand { 6, 6, true };
    std::map<std::string, FleetCount> m_counts {
        { "a", { 0, 8 } }, { "b", { 0, 8 } }, { "c", { 0, 8 } }, { "d", { 0, 8 } }
    };
    std::map<std::string, int> m_onDemand;
    FleetPlanner m_planner { policy(), { { "a", 4 }, { "b", 4 }, { "c", 4 }, { "d", 4 } } };
};

// Guards against a fleet without any server for two seconds, and with nearly every caller served
// late for another fifteen: the reclaimable servers of all data centres were reclaimed one after
// the other, and on-demand servers were ordered only when the last ones were lost.
TEST_F(ReclaimWaveTest, ServersThatMayBeLostNextAreReplacedBefore)
{
    plan(Start);
    reclaim("a", Start + 20s);
    EXPECT_EQ(onDemand(), 0); // 16 remain if another data centre loses its servers
    reclaim("b", Start + 26s);
    EXPECT_EQ(onDemand(), 0); // 8 would remain
    reclaim("c", Start + 32s);
    EXPECT_EQ(onDemand(), 12); // none may remain
    EXPECT_EQ(m_planner.estimate(), FleetEstimate::Insurance);
}

// Guards against on-demand servers that are given back a second before the last reclaimable ones
// are lost: the instance that had ordered them as an insurance lost the lease, and its successor
// knew of no shortage.
TEST_F(ReclaimWaveTest, ASuccessorKeepsTheInsurance)
{
    plan(Start);
    reclaim("a", Start + 20s);
    reclaim("b", Start + 26s);
    reclaim("c", Start + 32s);
    const int insured = onDemand();
    for (auto &[dataCentre, count] : m_counts)
        count.onDemand = m_onDemand[dataCentre];
    m_planner = FleetPlanner(policy(), { { "a", 4 }, { "b", 4 }, { "c", 4 }, { "d", 4 } });
    m_planner.succeed(Start + 38s);
    for (int i = 0; i < 40; ++i) {
        plan(Start + 38s + i * 300ms);
        EXPECT_GE(onDemand(), insured) << i;
    }
}

// Guards against on-demand servers that a successor keeps for good.
TEST_F(ReclaimWaveTest, ASuccessorGivesBackWhatNothingNeeds)
{
    for (auto &[dataCentre, count] : m_counts)
        count.onDemand = m_onDemand[dataCentre] = 4;
    m_planner.succeed(Start);
    plan(Start);
    EXPECT_EQ(onDemand(), 16);
    plan(Start + 7s);
    EXPECT_EQ(onDemand(), 0);
}

TEST_F(ReclaimWaveTest, TheInsuranceEndsWithTheShortage)
{
    plan(Start);
    reclaim("a", Start + 20s);
    reclaim("b", Start + 26s);
    for (auto &[dataCentre, count] : m_counts)
        count = { m_onDemand[dataCentre], 8 };
    plan(Start + 40s);
    plan(Start + 50s);
    EXPECT_EQ(m_planner.estimate(), FleetEstimate::Demand);
    EXPECT_EQ(onDemand(), 0);
}

TEST_F(ReclaimWaveTest, PressureDoesNotGrowAFleetDuringAShortage)
{
    plan(Start);
    reclaim("a", Start + 20s);
    SteadyTime now = Start + 21s;
    for (int i = 0; i < 60; ++i, now += 300ms)
        m_planner.updatePressure(0.9, now);
    EXPECT_EQ(m_planner.scale(), 1);
}

TEST_F(FleetPlannerTest, OnePeakDoesNotGrowTheFleetTwice)
{
    m_planner.updatePressure(0.9, Start);
    const double grown = m_planner.scale();
    m_planner.updatePressure(0.9, Start + 1s);
    EXPECT_EQ(m_planner.scale(), grown);
}

TEST_F(FleetPlannerTest, ADropInDemandIsNotFollowedAtOnce)
{
    planAndFulfil({ 7, 7, true }, Start);
    const int before = total(&FleetCount::reclaimable);
    planAndFulfil({ 1, 1, true }, Start + 1s);
    EXPECT_EQ(total(&FleetCount::reclaimable), before);
    planAndFulfil({ 1, 1, true }, Start + 10s);
    EXPECT_LT(total(&FleetCount::reclaimable), before);
}

} // namespace
} // namespace snipestall::serving
