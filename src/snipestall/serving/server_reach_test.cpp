#include "snipestall/serving/server_reach.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };
constexpr std::size_t Servers = 20;

class ServerReachTest : public testing::Test
{
protected:
    void fail(std::initializer_list<const char *> servers, SteadyTime at)
    {
        for (const char *server : servers)
            m_reach.failed(server, at);
    }

    ServerReach m_reach;
};

TEST_F(ServerReachTest, SeveralServersWithoutAnswerRaiseTheSuspicion)
{
    fail({ "a", "b" }, Start);
    EXPECT_FALSE(m_reach.suspected(Servers, Start));
    fail({ "c" }, Start + 100ms);
    EXPECT_TRUE(m_reach.suspected(Servers, Start + 100ms));
    EXPECT_FALSE(m_reach.cutOff());
    EXPECT_TRUE(m_reach.confirm());
    EXPECT_TRUE(m_reach.cutOff());
    EXPECT_FALSE(m_reach.confirm());
}

// Guards against callers that are sent to other instances because one server has stopped, however
// often it fails.
TEST_F(ServerReachTest, OneServerThatFailsIsNoCut)
{
    for (int i = 0; i < 10; ++i)
        fail({ "a" }, Start);
    EXPECT_FALSE(m_reach.suspected(Servers, Start));
}

TEST_F(ServerReachTest, AServerThatAnswersEndsTheSuspicionAndTheCut)
{
    fail({ "a", "b" }, Start);
    m_reach.reached();
    fail({ "c", "d" }, Start);
    EXPECT_FALSE(m_reach.suspected(Servers, Start));
    fail({ "e" }, Start);
    m_reach.confirm();
    m_reach.reached();
    EXPECT_FALSE(m_reach.cutOff());
    EXPECT_FALSE(m_reach.suspected(Servers, Start));
}

TEST_F(ServerReachTest, FailuresThatAreFarApartAreUnrelated)
{
    fail({ "a", "b" }, Start);
    fail({ "c" }, Start + 4s);
    EXPECT_FALSE(m_reach.suspected(Servers, Start + 4s));
}

TEST_F(ServerReachTest, AllServersOfASmallDeploymentAreEnough)
{
    fail({ "a" }, Start);
    EXPECT_FALSE(m_reach.suspected(2, Start));
    EXPECT_TRUE(m_reach.suspected(1, Start));
    EXPECT_FALSE(m_reach.suspected(0, Start));
}

// While cut off, the instance goes on finding out, without any further failure.
TEST_F(ServerReachTest, ACutStaysSuspectedUntilAServerIsReached)
{
    fail({ "a", "b", "c" }, Start);
    m_reach.confirm();
    EXPECT_TRUE(m_reach.suspected(Servers, Start + 1min));
}

} // namespace
} // namespace snipestall::serving
