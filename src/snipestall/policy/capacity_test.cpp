#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;

class CapacityTest : public testing::Test
{
protected:
    CapacityTest()
    {
        m_fleet.addCustomer("ferries");
        auto &classes = m_fleet.settings->classes;
        classes.push_back({ "samsun-hall", "spot", true, 0.6, 0.5 });
        classes.push_back({ "samsun-hall", "volatile", true, 0.5, 60.0 });
        classes.push_back({ "samsun-hall", "demand", false, 2.0, 0.0 });
        m_fleet.start();
    }

    void report(std::uint32_t running, std::uint32_t starting, double tokensPerSecond)
    {
        CapacityReport event;
        event.groups.push_back({ "airtime", "samsun-hall", "spot", running, starting });
        event.demand.push_back({ "airtime", tokensPerSecond, 100, 0 });
        m_fleet.give(event);
    }

    std::vector<std::string> started() const
    {
        std::vector<std::string> classes;
        for (const Command &command : m_fleet.last) {
            if (const auto *start = std::get_if<StartInstance>(&command))
                classes.push_back(start->instanceClass);
        }
        return classes;
    }

    bool released() const
    {
        const auto isRelease = [](const Command &c) {
            return std::holds_alternative<ReleaseInstance>(c);
        };
        return std::any_of(m_fleet.last.begin(), m_fleet.last.end(), isRelease);
    }

    FakeFleet m_fleet;
};

TEST_F(CapacityTest, StartsInstancesOfTheClassWithTheLowestExpectedCost)
{
    report(2, 0, 300);
    // Demand needs four instances at three quarters of 100 tokens per second each; "volatile" is
    // cheap but is reclaimed every minute.
    EXPECT_EQ(started(), (std::vector<std::string> { "spot", "spot" }));
}

TEST_F(CapacityTest, DoesNotRequestUnreportedStartsTwice)
{
    report(2, 0, 300);
    m_fleet.runFor(5s);
    report(2, 0, 300);
    EXPECT_TRUE(started().empty());
    m_fleet.runFor(5s);
    report(2, 2, 300);
    EXPECT_TRUE(started().empty());
}

// Half of the data centre is reclaimed, and the cloud refuses each start of the reclaimed class.
// Requesting that class again and again leaves the pool short for minutes although another class is
// available.
TEST_F(CapacityTest, ARefusedStartGoesToAnotherClass)
{
    report(2, 0, 225);
    ASSERT_EQ(started(), std::vector<std::string> { "spot" });
    m_fleet.give(StartRefused { "airtime", "samsun-hall", "spot" });
    report(2, 0, 225);
    ASSERT_EQ(started().size(), 1U);
    EXPECT_NE(started().front(), "spot");
}

TEST_F(CapacityTest, AClassThatRefusesIsTriedAgainLessAndLessOften)
{
    m_fleet.settings->classes.erase(m_fleet.settings->classes.begin() + 1,
                                    m_fleet.settings->classes.end());
    m_fleet.start();
    int tries = 0;
    for (int second = 0; second < 600; second += 5) {
        report(2, 0, 225);
        if (!started().empty()) {
            ++tries;
            m_fleet.give(StartRefused { "airtime", "samsun-hall", "spot" });
        }
        m_fleet.runFor(5s);
    }
    EXPECT_GE(tries, 4);
    EXPECT_LE(tries, 8);
}

TEST_F(CapacityTest, ReleasesOneAtATimeOnlyAfterALastingSurplus)
{
    int releases = 0;
    for (int second = 0; second < 115; second += 5) {
        report(6, 0, 100);
        releases += released() ? 1 : 0;
        m_fleet.runFor(5s);
    }
    EXPECT_EQ(releases, 0);
    for (int second = 0; second < 60; second += 5) {
        report(6, 0, 100);
        releases += released() ? 1 : 0;
        m_fleet.runFor(5s);
    }
    EXPECT_GE(releases, 1);
    EXPECT_LE(releases, 2);
}

TEST_F(CapacityTest, KeepsTheMinimumWithoutAnyDemand)
{
    m_fleet.settings->services.front().minServers = 2;
    m_fleet.start();
    report(0, 0, 0);
    EXPECT_EQ(started().size(), 2U);
    for (int second = 0; second < 600; second += 5) {
        report(2, 0, 0);
        EXPECT_FALSE(released());
        m_fleet.runFor(5s);
    }
}

} // namespace
} // namespace snipestall::policy
