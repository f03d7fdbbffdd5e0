#include "snipestall/serving/server_table.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

BackendServer server(const std::string &id, bool leaving = false)
{
    BackendServer made;
    made.id = id;
    made.service = "lm";
    made.leaving = leaving;
    return made;
}

// Guards against a request that is cut off: a backend server announces that it leaves, an older
// copy of its entry arrives late, and the server gets new requests until it exits.
TEST(ServerTable, LeavingIsFinalWhateverAnOlderEntrySays)
{
    ServerTable table;
    table.put(server("i-1", true), Start);
    table.put(server("i-1", false), Start + 1s);
    EXPECT_FALSE(table.find("i-1")->takesWork());
}

// Guards against streams that break off in a reclaim: the list contains that their servers leave,
// but not when.
TEST(ServerTable, AReclaimedServerServesForTheDrainTimeAfterItsLeavingWasFirstListed)
{
    ServerTable table(2000ms);
    BackendServer leaving = server("i-1", true);
    table.put(leaving, Start);
    EXPECT_FALSE(table.find("i-1")->leavesAt);
    leaving.reclaimable = true;
    table.put(leaving, Start + 1s);
    table.put(leaving, Start + 2s);
    EXPECT_EQ(table.find("i-1")->leavesAt, Start + 3s);
    leaving.leavesIn = 500ms;
    table.put(leaving, Start + 2s);
    EXPECT_EQ(table.find("i-1")->leavesAt, Start + 2500ms);
}

// Guards against a run that goes on at the server that stopped it when that takes no requests any
// more: its drain time is over, or it has left.
TEST(ServerTable, ARunMayReturnToItsServerWithinTheDrainTimeAndBeforeItLeaves)
{
    ServerTable table(2000ms);
    BackendServer leaving = server("i-1");
    table.put(leaving, Start);
    const ServerStatePtr state = table.find("i-1");
    EXPECT_TRUE(table.mayReturnTo(*state, Start + 10s));
    leaving.leaving = true;
    leaving.leavesIn = 2500ms;
    table.put(leaving, Start + 10s);
    leaving.leavesIn = 1500ms;
    table.put(leaving, Start + 11s);
    EXPECT_TRUE(table.mayReturnTo(*state, Start + 11399ms));
    EXPECT_FALSE(table.mayReturnTo(*state, Start + 11400ms));

    BackendServer soon = server("i-2", true);
    soon.leavesIn = 500ms;
    table.put(soon, Start);
    EXPECT_TRUE(table.mayReturnTo(*table.find("i-2"), Start + 499ms));
    EXPECT_FALSE(table.mayReturnTo(*table.find("i-2"), Start + 500ms));
    const ServerStatePtr removed = table.remove("i-2");
    EXPECT_FALSE(table.mayReturnTo(*removed, Start + 100ms));
}

TEST(ServerTable, AnIncarnationThatLeftIsNotAddedAgain)
{
    ServerTable table;
    table.put(server("i-1"), Start);
    table.remove("i-1");
    table.put(server("i-1"), Start + 1s);
    EXPECT_EQ(table.find("i-1"), nullptr);
}

// Guards against refusing every request after an outage of the store: the entries of the servers
// expired while the store was unavailable, their removals arrive first, and the servers list
// themselves again only afterwards.
TEST(ServerTable, ExpiredEntriesStayUntilTheServersHadTimeToListThemselves)
{
    ServerTable table;
    table.put(server("back"), Start);
    table.put(server("dead"), Start);
    table.markExpired("back", Start + 2s);
    table.markExpired("dead", Start + 2s);
    EXPECT_TRUE(table.removeExpired(Start + 1900ms).empty());
    EXPECT_TRUE(table.find("dead")->takesWork());
    table.put(server("back"), Start + 1900ms);
    const std::vector<ServerStatePtr> gone = table.removeExpired(Start + 2s);
    ASSERT_EQ(gone.size(), 1U);
    EXPECT_EQ(gone.front()->info.id, "dead");
    EXPECT_TRUE(gone.front()->departed);
    EXPECT_NE(table.find("back"), nullptr);
    EXPECT_EQ(table.find("dead"), nullptr);
}

// Guards against a third of the servers being idle permanently after an outage of the store: they
// listed themselves again a moment after their expired entries were taken as gone, and were taken
// as servers that had left.
TEST(ServerTable, AServerWithAnExpiredEntryThatListsItselfLateServesAgain)
{
    ServerTable table;
    table.put(server("i-1"), Start);
    table.markExpired("i-1", Start + 1s);
    ASSERT_EQ(table.removeExpired(Start + 1s).size(), 1U);
    table.put(server("i-1"), Start + 2s);
    ASSERT_NE(table.find("i-1"), nullptr);
    EXPECT_TRUE(table.find("i-1")->takesWork());
}

BackendServer startedAt(std::chrono::seconds start, bool leaving = false)
{
    BackendServer made = server("i-1", leaving);
    made.startedAt = WallTime(start);
    return made;
}

// Guards against requests that find no server: a server crashed, started again under its id, and
// was taken as the one that had left the list.
TEST(ServerTable, AServerThatStartsAgainUnderItsIdServesAtOnce)
{
    ServerTable table;
    table.put(startedAt(10s), Start);
    table.remove("i-1");
    EXPECT_EQ(table.put(startedAt(20s), Start + 1s).kind, PutResult::Kind::Added);
    ASSERT_NE(table.find("i-1"), nullptr);
    EXPECT_TRUE(table.find("i-1")->takesWork());
}

// Guards against a restarted server that is avoided because of its predecessor, or gets prompts for
// a cache that it has lost: its entry changed without ever having left the list.
TEST(ServerTable, StateBelongsToOneIncarnation)
{
    ServerTable table;
    table.put(startedAt(10s, true), Start);
    const ServerStatePtr before = table.find("i-1");
    before->own.inFlight = 3;
    for (int i = 0; i < 3; ++i)
        table.lost(*before, Start);
    const PutResult listing = table.put(startedAt(20s), Start + 1s);
    EXPECT_EQ(listing.ended, before);
    EXPECT_TRUE(before->departed);
    const ServerStatePtr after = table.find("i-1");
    EXPECT_NE(after->key, before->key);
    EXPECT_EQ(after->own.inFlight, 0U);
    EXPECT_TRUE(after->health.usable(Start));
    EXPECT_TRUE(after->takesWork());
}

// Guards against requests that are sent to a server that has ended: a late copy of its entry
// arrives after the entry of the server that now runs under the id, or after that server has left
// too.
TEST(ServerTable, AnOlderIncarnationIsNeverAddedAgain)
{
    ServerTable table;
    table.put(startedAt(10s), Start);
    table.put(startedAt(20s, true), Start + 1s);
    EXPECT_EQ(table.put(startedAt(10s), Start + 2s).kind, PutResult::Kind::Ignored);
    EXPECT_FALSE(table.find("i-1")->takesWork());
    table.remove("i-1");
    EXPECT_EQ(table.put(startedAt(10s), Start + 3s).kind, PutResult::Kind::Ignored);
    EXPECT_TRUE(table.readmit(Start + 60s).empty());
    EXPECT_EQ(table.find("i-1"), nullptr);
}

// Guards against servers of a data centre that stay idle permanently after a network partition:
// they could not renew their entries, the entries were removed, and the servers list themselves
// again as the same incarnation when the partition ends.
TEST(ServerTable, AServerThatWasCutOffServesAgainOnceItsEntryHasBeenRenewed)
{
    ServerTable table(2000ms, 1200ms);
    table.put(startedAt(10s), Start);
    table.remove("i-1");
    EXPECT_EQ(table.put(startedAt(10s), Start + 5s).kind, PutResult::Kind::Returning);
    EXPECT_TRUE(table.readmit(Start + 9s).empty());
    EXPECT_EQ(table.find("i-1"), nullptr);
    ASSERT_EQ(table.readmit(Start + 10s).size(), 1U);
    EXPECT_TRUE(table.find("i-1")->takesWork());
}

// Guards against a request that is sent to a server that left without an announcement: an entry
// that it had written before arrived late, and nobody renews it.
TEST(ServerTable, AnEntryThatIsNotRenewedDoesNotReadmitAServer)
{
    ServerTable table(2000ms, 1200ms);
    table.put(startedAt(10s), Start);
    table.remove("i-1");
    table.put(startedAt(10s), Start + 1s);
    table.remove("i-1");
    EXPECT_TRUE(table.readmit(Start + 60s).empty());
    EXPECT_EQ(table.put(startedAt(10s, true), Start + 61s).kind, PutResult::Kind::Ignored);
    EXPECT_TRUE(table.readmit(Start + 120s).empty());
    EXPECT_EQ(table.find("i-1"), nullptr);
}

// Guards against requests to a server that is about to end: it has said so in an answer or in its
// entry, then the entry lapses and is listed again as ready.
TEST(ServerTable, LeavingOutlivesTheEntryOfItsServer)
{
    for (const bool inEntry : { false, true }) {
        ServerTable table(2000ms, 1200ms);
        table.put(startedAt(10s, inEntry), Start);
        if (!inEntry) {
            EXPECT_TRUE(table.saidItLeaves(table.find("i-1")->key, Start));
        }
        EXPECT_FALSE(table.find("i-1")->takesWork());
        table.markExpired("i-1", Start + 1s);
        table.removeExpired(Start + 1s);
        table.put(startedAt(10s), Start + 2s);
        EXPECT_FALSE(table.find("i-1")->takesWork());
        table.put(startedAt(11s), Start + 3s);
        EXPECT_TRUE(table.find("i-1")->takesWork());
    }
}

// Guards against streams that are moved away from a server without need: it has said in an answer
// that it leaves, and lets its requests end.
TEST(ServerTable, AServerThatSaysItLeavesIsNotTakenAsReclaimed)
{
    ServerTable table;
    BackendServer reclaimable = startedAt(10s);
    reclaimable.reclaimable = true;
    table.put(reclaimable, Start);
    table.saidItLeaves(table.find("i-1")->key, Start);
    table.put(reclaimable, Start + 1s);
    EXPECT_FALSE(table.find("i-1")->leavesAt);
}

// Guards against a server that is never used again: it reports no start time, so a new start under
// the same id can't be told from the incarnation that left.
TEST(ServerTable, LeavingEndsWithTheEntryOfAServerWithoutAStartTime)
{
    ServerTable table;
    table.put(server("i-1", true), Start);
    table.markExpired("i-1", Start + 1s);
    table.removeExpired(Start + 1s);
    table.put(server("i-1"), Start + 2s);
    EXPECT_TRUE(table.find("i-1")->takesWork());
}

// Guards against requests that reach a server which leaves through instances that it has not told.
TEST(ServerTable, OnlyWhatAnAnswerSaidOfLeavingIsReported)
{
    ServerTable table;
    table.put(startedAt(10s), Start);
    const std::string key = table.find("i-1")->key;
    EXPECT_TRUE(table.saidItLeaves(key, Start));
    EXPECT_FALSE(table.saidItLeaves(key, Start + 1s));
    ASSERT_EQ(table.notices().leavingReports(Start + 1s).size(), 1U);
    EXPECT_EQ(table.notices().leavingReports(Start + 1s).front().server, key);
    EXPECT_EQ(table.notices().leavingReports(Start + 1s).front().age, 1s);
    EXPECT_TRUE(table.notices().leavingReports(Start + 11s).empty());
    table.put(startedAt(10s, true), Start + 2s);
    EXPECT_TRUE(table.notices().leavingReports(Start + 2s).empty());
}

TEST(ServerTable, RunningRequestsKeepTheirServerAfterItsEntryIsRemoved)
{
    ServerTable table;
    table.put(server("i-1"), Start);
    const ServerStatePtr held = table.find("i-1");
    table.remove("i-1");
    EXPECT_TRUE(held->departed);
    EXPECT_FALSE(held->takesWork());
}

} // namespace
} // namespace snipestall::serving
