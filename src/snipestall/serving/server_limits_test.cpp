#include "snipestall/serving/server_limits.hpp"

#include "snipestall/serving/server_table.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

class ServerLimitsTest : public testing::Test
{
protected:
    ServerLimitsTest()
    {
        m_server.key = "i-1@1";
        m_server.info.dataCentre = "east";
        m_limits.setInstances({ { "edge-1", "east" } });
    }

    ServerState m_server;
    ServerLimits m_limits { "edge-1" };
};

TEST_F(ServerLimitsTest, AServerWithoutALimitGetsAnyNumberOfRequests)
{
    m_limits.answered(m_server, std::nullopt, Start);
    for (int i = 0; i < 100; ++i)
        m_limits.requestSent(m_server, Start);
    EXPECT_TRUE(m_limits.maySend(m_server, Start));
    EXPECT_TRUE(m_limits.reports(Start).empty());
}

TEST_F(ServerLimitsTest, ANewLimitBeginsWithNoRequests)
{
    EXPECT_TRUE(m_limits.answered(m_server, 2, Start));
    EXPECT_FALSE(m_limits.maySend(m_server, Start));
    EXPECT_TRUE(m_limits.maySend(m_server, Start + 1s));
    m_limits.requestSent(m_server, Start + 1s);
    EXPECT_FALSE(m_limits.maySend(m_server, Start + 1s));
    EXPECT_EQ(m_limits.waitFor(m_server, Start + 1s), 556ms);
}

// Guards against a server with a limit that gets requests from every instance: only one sends where
// the limit is one request per second.
TEST_F(ServerLimitsTest, OneInstanceSendsToAServerThatTakesOneRequestPerSecond)
{
    const std::map<std::string, std::string> instances {
        { "edge-1", "east" }, { "edge-2", "east" }, { "edge-3", "east" }, { "edge-4", "west" }
    };
    int senders = 0;
    for (const auto &[name, dataCentre] : instances) {
        ServerLimits limits(name);
        limits.setInstances(instances);
        limits.answered(m_server, 1, Start);
        senders += limits.maySend(m_server, Start + 10s) ? 1 : 0;
        EXPECT_TRUE(dataCentre == "east" || !limits.maySend(m_server, Start + 10s));
    }
    EXPECT_EQ(senders, 1);
}

// Guards against a limit that is kept, or dropped, by an old answer that arrives after a newer one.
TEST_F(ServerLimitsTest, TheNewestAnswerCounts)
{
    m_limits.answered(m_server, 5, Start);
    EXPECT_FALSE(m_limits.apply({ "i-1@1", std::nullopt, 2s }, Start + 1s));
    EXPECT_TRUE(m_limits.isLimited("i-1@1"));
    EXPECT_TRUE(m_limits.apply({ "i-1@1", 3, 500ms }, Start + 1s));
    EXPECT_TRUE(m_limits.apply({ "i-1@1", std::nullopt, 0ms }, Start + 2s));
    EXPECT_FALSE(m_limits.isLimited("i-1@1"));
    EXPECT_FALSE(m_limits.apply({ "i-1@1", 3, 1500ms }, Start + 2s));
}

// Guards against a limit of zero that is never lifted, because no answer can show that the server
// takes requests again.
TEST_F(ServerLimitsTest, AServerThatTakesNoneIsStillAskedNowAndThen)
{
    m_limits.answered(m_server, 0, Start);
    EXPECT_FALSE(m_limits.maySend(m_server, Start + 5s));
    EXPECT_TRUE(m_limits.maySend(m_server, Start + 10s));
}

TEST_F(ServerLimitsTest, TheLimitOfAnIncarnationThatHasEndedIsForgotten)
{
    m_limits.answered(m_server, 1, Start);
    m_limits.forgetServer("i-1@1");
    EXPECT_TRUE(m_limits.maySend(m_server, Start));
    EXPECT_EQ(m_limits.size(), 0U);
}

// Guards against limits of servers that have ended, which instances would pass to each other
// without end.
TEST_F(ServerLimitsTest, ALimitThatNoAnswerConfirmsIsNotPassedOnForLongAndIsDropped)
{
    m_limits.answered(m_server, 1, Start);
    EXPECT_EQ(m_limits.reports(Start + 29s).size(), 1U);
    EXPECT_TRUE(m_limits.reports(Start + 31s).empty());
    EXPECT_FALSE(m_limits.apply({ "i-2@1", 1, 31s }, Start));
    ServerState other;
    other.key = "i-3@1";
    m_limits.answered(other, 1, Start + 121s);
    EXPECT_EQ(m_limits.size(), 1U);
}

TEST_F(ServerLimitsTest, AHugeLimitHasNoEffect)
{
    m_limits.answered(m_server, 1e12, Start);
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(m_limits.maySend(m_server, Start + 1s));
        m_limits.requestSent(m_server, Start + 1s);
    }
}

} // namespace
} // namespace snipestall::serving
