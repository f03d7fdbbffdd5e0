#include "snipestall/serving/server_rest.hpp"

#include "snipestall/serving/server_table.hpp"

#include <gtest/gtest.h>

#include <string>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

BackendServer startedAt(std::chrono::seconds time)
{
    BackendServer server;
    server.id = "i-1";
    server.startedAt = WallTime(time);
    server.service = "lm";
    return server;
}

class ServerRestsTest : public testing::Test
{
protected:
    ServerRestsTest() { m_table.put(startedAt(10s), Start); }

    void askForRest(std::chrono::milliseconds length, SteadyTime now = Start)
    {
        m_table.askedForRest(*m_table.find("i-1"), now + length, now);
    }
    [[nodiscard]] bool rests(SteadyTime now) const { return m_table.find("i-1")->rests(now); }

    ServerTable m_table { 2000ms, 1200ms };
};

TEST_F(ServerRestsTest, ALongerRestExtendsAndAShorterOneChangesNothing)
{
    askForRest(3s);
    askForRest(1s, Start + 1s);
    EXPECT_TRUE(rests(Start + 2999ms));
    EXPECT_FALSE(rests(Start + 3s));
    askForRest(4s, Start + 2s);
    EXPECT_TRUE(rests(Start + 5999ms));
}

// Guards against requests during a rest whose state was lost: the entry lapsed in an outage of the
// store or was removed, and the same incarnation is listed again.
TEST_F(ServerRestsTest, ARestOutlivesTheEntryOfItsServer)
{
    askForRest(20s);
    m_table.markExpired("i-1", Start + 1s);
    m_table.removeExpired(Start + 1s);
    m_table.put(startedAt(10s), Start + 2s);
    EXPECT_TRUE(rests(Start + 2s));
    m_table.remove("i-1");
    m_table.put(startedAt(10s), Start + 3s);
    ASSERT_EQ(m_table.readmit(Start + 10s).size(), 1U);
    EXPECT_TRUE(rests(Start + 19s));
}

// Guards against a rest that is lost because its answer comes to a request that was sent before the
// entry lapsed and came back.
TEST_F(ServerRestsTest, AnAnswerToAnEarlierRequestCountsForTheEntryThatCameBack)
{
    const ServerStatePtr before = m_table.find("i-1");
    m_table.markExpired("i-1", Start);
    m_table.removeExpired(Start);
    m_table.put(startedAt(10s), Start);
    m_table.askedForRest(*before, Start + 3s, Start);
    EXPECT_TRUE(rests(Start + 1s));
}

TEST_F(ServerRestsTest, ANewIncarnationDoesNotRest)
{
    askForRest(20s);
    m_table.put(startedAt(11s), Start + 1s);
    EXPECT_FALSE(rests(Start + 1s));
}

// Guards against a server that is full again at the end of its rest, because all that was held back
// comes at once.
TEST_F(ServerRestsTest, AfterARestSingleRequestsAreSentUntilOneIsAccepted)
{
    askForRest(1s);
    ServerState &server = *m_table.find("i-1");
    EXPECT_LE(server.opensAt(), Start + 1s);
    ServerTable::requestSent(server, Start + 1s);
    EXPECT_EQ(server.opensAt(), Start + 1500ms);
    // One that was sent before the rest says nothing of it.
    ServerTable::requestAccepted(server, Start);
    EXPECT_EQ(server.opensAt(), Start + 1500ms);
    ServerTable::requestAccepted(server, Start + 1s);
    EXPECT_LE(server.opensAt(), Start + 1s);
}

// Guards against runs that are lost because their target asks for rest while they are copied, and
// against many that continue there nevertheless.
TEST_F(ServerRestsTest, OneMovedRunMayContinueDuringARest)
{
    askForRest(1s);
    ServerRest &rest = *m_table.find("i-1")->rest;
    EXPECT_TRUE(rest.admitsMovedRun(Start));
    EXPECT_FALSE(rest.admitsMovedRun(Start));
    EXPECT_TRUE(rest.admitsMovedRun(Start + 1s));
    askForRest(1s, Start + 2s);
    EXPECT_TRUE(m_table.find("i-1")->rest->admitsMovedRun(Start + 2s));
}

} // namespace
} // namespace snipestall::serving
