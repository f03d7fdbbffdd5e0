#include "snipestall/serving/forward_targets.hpp"

#include <gtest/gtest.h>

#include <map>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

class ForwardTargetsTest : public testing::Test
{
protected:
    void add(const std::string &name, const std::string &dataCentre, std::uint32_t milliCores = 250)
    {
        m_targets.setInstance(name, wire::Endpoint { "10.0.0.1", 7615 }, dataCentre, milliCores);
    }
    /// How often each instance is chosen.
    std::map<std::string, int> choices(SteadyTime now)
    {
        constexpr int Choices = 1000;
        std::map<std::string, int> counts;
        for (int i = 0; i < Choices; ++i) {
            const auto target = m_targets.choose({}, now);
            ++counts[target ? target->name : "none"];
        }
        return counts;
    }

    ForwardTargets m_targets { "east", 1 };
};

TEST_F(ForwardTargetsTest, InstancesOfTheOwnDataCentreAreChosenByTheirProcessorTime)
{
    add("small", "east", 120);
    add("large", "east", 480);
    add("far", "west", 480);
    const auto counts = choices(Start);
    EXPECT_EQ(counts.count("far"), 0U);
    EXPECT_GT(counts.at("large"), 3 * counts.at("small"));
}

// Guards against two instances that get all requests of a data centre whose others are cut off.
TEST_F(ForwardTargetsTest, IfMostOfTheDataCentreIsCutOffOthersTakeTheRequestsToo)
{
    for (const char *name : { "a", "b", "c" })
        add(name, "east");
    add("far", "west");
    m_targets.cutOff({ "a", 0ms }, Start);
    EXPECT_EQ(choices(Start).count("far"), 0U);
    m_targets.cutOff({ "b", 0ms }, Start);
    const auto counts = choices(Start);
    EXPECT_GT(counts.at("far"), 300);
    EXPECT_GT(counts.at("c"), 300);
    m_targets.cutOff({ "c", 0ms }, Start);
    EXPECT_EQ(choices(Start).at("far"), 1000);
}

// Guards against requests that go back and forth between instances that are all cut off.
TEST_F(ForwardTargetsTest, NoInstanceIsChosenThatIsCutOffOrWasTried)
{
    add("a", "east");
    add("b", "east");
    m_targets.cutOff({ "a", 0ms }, Start);
    EXPECT_FALSE(m_targets.choose({ "b" }, Start));
    m_targets.reaches("a");
    EXPECT_TRUE(m_targets.choose({ "b" }, Start));
}

TEST_F(ForwardTargetsTest, AReportOfACutExpires)
{
    add("a", "east");
    m_targets.cutOff({ "a", 1000ms }, Start);
    ASSERT_EQ(m_targets.cutOffs(Start).size(), 1U);
    EXPECT_EQ(m_targets.cutOffs(Start).front().age, 1000ms);
    EXPECT_FALSE(m_targets.choose({}, Start));
    EXPECT_TRUE(m_targets.choose({}, Start + 600ms));
    EXPECT_TRUE(m_targets.cutOffs(Start + 600ms).empty());
}

TEST_F(ForwardTargetsTest, AnInstanceThatCouldNotBeReachedIsAvoidedForAWhile)
{
    add("a", "east");
    m_targets.failed("a", Start);
    EXPECT_FALSE(m_targets.choose({}, Start + 1s));
    EXPECT_TRUE(m_targets.choose({}, Start + 3s));
}

TEST_F(ForwardTargetsTest, AnInstanceThatTakesNoRequestsOfOthersIsNotChosen)
{
    m_targets.setInstance("old", std::nullopt, "east", 250);
    EXPECT_FALSE(m_targets.choose({}, Start));
}

// Guards against requests that wait for connections to instances that were removed for good.
TEST_F(ForwardTargetsTest, OnlyRegisteredInstancesAreChosen)
{
    add("a", "east");
    add("gone", "east");
    m_targets.keepOnly({ { "a", "east" } });
    EXPECT_EQ(choices(Start).at("a"), 1000);
}

/// The parameter is the number of instances in each of four data centres.
class ForwardTargetsFleet : public testing::TestWithParam<int>
{ };

// Guards against instances that are overrun by the requests of a data centre that is cut off as a
// whole: each of the others gets about an equal part.
TEST_P(ForwardTargetsFleet, ACutDataCentreIsServedByAllOthersAlike)
{
    constexpr int DataCentres = 4;
    constexpr int RequestsEach = 400;
    std::map<std::string, int> served;
    for (int sender = 0; sender < GetParam(); ++sender) {
        ForwardTargets targets("dc-0", static_cast<std::uint64_t>(sender));
        for (int dataCentre = 0; dataCentre < DataCentres; ++dataCentre) {
            for (int i = 0; i < GetParam(); ++i) {
                const std::string name =
                    "edge-" + std::to_string(dataCentre) + "-" + std::to_string(i);
                if (dataCentre == 0 && i == sender)
                    continue;
                targets.setInstance(name, wire::Endpoint { "10.0.0.1", 7615 },
                                    "dc-" + std::to_string(dataCentre), 120);
                if (dataCentre == 0)
                    targets.cutOff({ name, 200ms }, Start);
            }
        }
        for (int i = 0; i < RequestsEach; ++i) {
            const auto target = targets.choose({}, Start);
            ASSERT_TRUE(target);
            ++served[target->name];
        }
    }
    const int others = (DataCentres - 1) * GetParam();
    EXPECT_EQ(served.size(), static_cast<std::size_t>(others));
    for (const auto &[name, count] : served)
        EXPECT_LT(count, 2 * GetParam() * RequestsEach / others) << name;
}

INSTANTIATE_TEST_SUITE_P(Sizes, ForwardTargetsFleet, testing::Values(2, 15, 75));

} // namespace
} // namespace snipestall::serving
