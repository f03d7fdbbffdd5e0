#include "snipestall/serving/placement.hpp"

#include "snipestall/serving/peer_loads.hpp"
#include "snipestall/serving/server_limits.hpp"
#include "snipestall/serving/service.hpp"
#include "snipestall/serving/slot_shares.hpp"
#include "snipestall/serving/stream_versions.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };
constexpr std::uint64_t Seed = 7;

class PlacementTest : public testing::Test
{
protected:
    PlacementTest()
    {
        m_engines.name = "lm";
        m_engines.engine = EngineProfile { 64, 500000 };
        m_plain.name = "ledger";
        for (int i = 0; i < 6; ++i)
            add("lm", "lm-" + std::to_string(i), 64);
        for (int i = 0; i < 4; ++i)
            add("ledger", "ledger-" + std::to_string(i), 6);
    }

    void add(const std::string &service, const std::string &id, int slots,
             const std::string &dataCentre = "east")
    {
        BackendServer server;
        server.id = id;
        server.dataCentre = dataCentre;
        server.service = service;
        server.slots = slots;
        m_servers.put(server, Start);
    }

    void addVersion(const std::string &service, const std::string &id, const std::string &version)
    {
        BackendServer server;
        server.id = id;
        server.dataCentre = "east";
        server.service = service;
        server.slots = 64;
        server.version = version;
        m_servers.put(server, Start);
    }

    PlacementRequest generation(std::uint64_t sharedPart, std::uint32_t tokens)
    {
        PlacementRequest request;
        request.service = &m_engines;
        Prompt prompt;
        prompt.promptTokens = tokens;
        prompt.maxOutputTokens = 300;
        prompt.parts = { { 1, 500 }, { sharedPart, 4000 }, { ++m_ownPart, tokens - 4500 } };
        request.prompt = prompt;
        return request;
    }

    PlacementRequest call()
    {
        PlacementRequest request;
        request.service = &m_plain;
        return request;
    }

    Service m_engines;
    Service m_plain;
    ServerTable m_servers;
    PeerLoads m_peers;
    RolloutView m_rollouts { true };
    ServerLimits m_limits { "edge-1" };
    SlotShares m_shares { "edge-1" };
    StreamVersions m_streamVersions;
    FirstEventEstimate m_estimate;
    Placement m_placement { m_servers,        m_peers,    m_rollouts, m_limits, m_shares,
                            m_streamVersions, m_estimate, "east",     Seed };
    std::uint64_t m_ownPart = 1000000;
};

TEST_F(PlacementTest, InstancesAgreeOnTheServerOfASharedPartWithoutAMessage)
{
    Placement other(m_servers, m_peers, m_rollouts, m_limits, m_shares, m_streamVersions,
                    m_estimate, "west", Seed + 1);
    for (std::uint64_t part = 10; part < 60; ++part) {
        const auto mine = m_placement.choose(generation(part, 8000), Start);
        const auto theirs = other.choose(generation(part, 8000), Start);
        EXPECT_EQ(mine->server->info.id, theirs->server->info.id) << part;
    }
}

TEST_F(PlacementTest, SharedPartsSpreadOverAllServers)
{
    std::set<std::string> used;
    for (std::uint64_t part = 10; part < 110; ++part)
        used.insert(m_placement.choose(generation(part, 8000), Start)->server->info.id);
    EXPECT_EQ(used.size(), 6U);
}

// Guards against callers that wait although other servers are idle: all requests that share the
// prompt of one popular document go to one server, whose queue takes longer than reading the prompt
// again.
TEST_F(PlacementTest, APopularPartSpillsOverOnceTheQueueCostsMoreThanReadingItAgain)
{
    std::set<std::string> used;
    for (int i = 0; i < 12; ++i) {
        const PlacementRequest request = generation(42, 6000);
        const auto placed = m_placement.choose(request, Start);
        m_placement.requestSent(request, placed->server->info.id, Start);
        placed->server->own.pendingTokens += placed->unreadTokens;
        ++placed->server->own.inFlight;
        used.insert(placed->server->info.id);
    }
    EXPECT_GE(used.size(), 3U);
    EXPECT_LT(used.size(), 7U);
}

// Guards against a short request that is answered late although servers are idle: a very long
// prompt is being read on its server, and only the instance that sent it knows.
TEST_F(PlacementTest, QueuedPromptsOfPeersCountLikeOwnOnes)
{
    const auto first = m_placement.choose(generation(42, 6000), Start);
    ServerLoad load;
    load.inFlight = 1;
    load.pendingTokens = 50000;
    load.heldTokens = 50000;
    m_peers.update("peer", { { first->server->key, load } }, Start);
    const auto second = m_placement.choose(generation(42, 6000), Start);
    EXPECT_NE(second->server->info.id, first->server->info.id);
    m_peers.expire(Start + 10s);
    const auto later = m_placement.choose(generation(42, 6000), Start + 10s);
    EXPECT_EQ(later->server->info.id, first->server->info.id);
}

// Guards against an answer that breaks off in the middle and cannot be resumed: two data centres
// are cut off from each other, and an equally free server of the data centre of the caller was not
// used.
TEST_F(PlacementTest, AStreamThatCannotBeResumedStaysInItsDataCentre)
{
    for (int i = 0; i < 6; ++i)
        add("lm", "lm-far-" + std::to_string(i), 64, "west");
    for (std::uint64_t part = 10; part < 60; ++part) {
        PlacementRequest request = generation(part, 5000);
        request.prompt->parts = { { 1, 500 }, { part, 200 }, { ++m_ownPart, 4300 } };
        request.mayRepeat = false;
        EXPECT_EQ(m_placement.choose(request, Start)->server->info.dataCentre, "east") << part;
    }
    for (int i = 0; i < 6; ++i)
        m_servers.find("lm-" + std::to_string(i))->own.pendingTokens = 20000;
    PlacementRequest request = generation(5, 5000);
    request.mayRepeat = false;
    EXPECT_EQ(m_placement.choose(request, Start)->server->info.dataCentre, "west");
}

// Guards against long prompts that are late one time in three: a third of the servers is slower,
// and a prompt that just meets its target on the other servers does not meet it there.
TEST_F(PlacementTest, ALongPromptGoesToAFasterServer)
{
    const auto usual = m_placement.choose(generation(42, 40000), Start);
    for (int i = 0; i < 6; ++i) {
        ServerSpeed &speed = m_servers.find("lm-" + std::to_string(i))->speed;
        const bool slow = usual->server->info.id == "lm-" + std::to_string(i);
        for (int stream = 0; stream < 10; ++stream)
            speed.setPause(slow ? 26ms : 20ms);
    }
    m_servers.compareServers(m_peers, Start);
    EXPECT_NE(m_placement.choose(generation(42, 40000), Start)->server->info.id,
              usual->server->info.id);
    // A short prompt stays where its shared parts are cached.
    EXPECT_EQ(m_placement.choose(generation(42, 6000), Start)->server->info.id,
              usual->server->info.id);
}

TEST_F(PlacementTest, AServerWithoutFreeCacheIsAvoided)
{
    const auto first = m_placement.choose(generation(42, 6000), Start);
    first->server->own.heldTokens = 490000;
    const auto second = m_placement.choose(generation(42, 6000), Start);
    EXPECT_NE(second->server->info.id, first->server->info.id);
}

TEST_F(PlacementTest, CallsGoToTheServerWithTheFewestInFlight)
{
    for (int i = 0; i < 3; ++i)
        m_servers.find("ledger-" + std::to_string(i))->own.inFlight = 3;
    EXPECT_EQ(m_placement.choose(call(), Start)->server->info.id, "ledger-3");
}

// Guards against copies of a call that crashes its server: sent by several instances at once, each
// copy would crash another server. Different calls are still spread at random.
TEST_F(PlacementTest, CopiesOfAnUnansweredCallGoToOneServer)
{
    Placement other(m_servers, m_peers, m_rollouts, m_limits, m_shares, m_streamVersions,
                    m_estimate, "east", Seed + 1);
    std::set<std::string> used;
    for (std::uint64_t fingerprint = 1; fingerprint <= 40; ++fingerprint) {
        PlacementRequest request = call();
        request.unansweredFingerprint = fingerprint;
        const std::string server = m_placement.choose(request, Start)->server->key;
        EXPECT_EQ(other.choose(request, Start)->server->key, server);
        used.insert(server);
    }
    EXPECT_EQ(used.size(), 4U);
}

// Guards against a server that fails its requests although its health check succeeds: it answers
// fastest, so it always has the fewest requests in flight and attracts the most.
TEST_F(PlacementTest, AServerThatFailsItsRequestsGetsFewerOfThem)
{
    for (int i = 0; i < 20; ++i)
        m_servers.find("ledger-0")->health.failed();
    int atFailing = 0;
    for (int i = 0; i < 400; ++i)
        atFailing += m_placement.choose(call(), Start)->server->info.id == "ledger-0" ? 1 : 0;
    EXPECT_EQ(atFailing, 0);
}

TEST_F(PlacementTest, SuspectedServersAreUsedOnlyIfThereIsNoOther)
{
    for (int i = 0; i < 3; ++i)
        m_servers.find("ledger-" + std::to_string(i))->health.lost(Start);
    EXPECT_EQ(m_placement.choose(call(), Start)->server->info.id, "ledger-3");
    m_servers.find("ledger-3")->health.lost(Start);
    EXPECT_TRUE(m_placement.choose(call(), Start).has_value());
}

// Guards against a call that is lost in a network partition between data centres although a server
// of its own data centre was idle: it was sent to another data centre without need.
TEST_F(PlacementTest, CallsStayInTheirDataCentreUntilItIsBusy)
{
    add("ledger", "ledger-far", 6, "west");
    for (int i = 0; i < 100; ++i)
        EXPECT_NE(m_placement.choose(call(), Start)->server->info.id, "ledger-far");
    for (int i = 0; i < 4; ++i)
        m_servers.find("ledger-" + std::to_string(i))->own.inFlight = 5;
    EXPECT_EQ(m_placement.choose(call(), Start)->server->info.id, "ledger-far");
}

TEST_F(PlacementTest, ASuspectedDataCentreIsAvoidedAsAWhole)
{
    add("ledger", "ledger-far", 6, "west");
    m_servers.lost(*m_servers.find("ledger-0"), Start);
    m_servers.lost(*m_servers.find("ledger-1"), Start);
    EXPECT_EQ(m_placement.choose(call(), Start)->server->info.id, "ledger-far");
    m_servers.answered(*m_servers.find("ledger-2"), Start);
    EXPECT_NE(m_placement.choose(call(), Start)->server->info.id, "ledger-far");
}

// Guards against requests to a server that has asked for rest because no other server is usable:
// a rest is not one more reason to avoid a server.
TEST_F(PlacementTest, AServerThatRestsGetsNothingEvenIfAllOthersAreSuspected)
{
    ServerState &resting = *m_servers.find("ledger-3");
    m_servers.askedForRest(resting, Start + 2s, Start);
    for (int i = 0; i < 3; ++i)
        m_servers.find("ledger-" + std::to_string(i))->health.lost(Start);
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(m_placement.choose(call(), Start)->server->info.id, "ledger-3");
    EXPECT_FALSE(m_placement.waitForRests(call(), Start));
}

// Guards against callers that are told to come back too early or not at all: all servers rest, some
// of which have just rejected the request.
TEST_F(PlacementTest, IfAllServersRestTheWaitIsThatForTheFirst)
{
    PlacementRequest request = call();
    for (int i = 0; i < 4; ++i) {
        ServerState &server = *m_servers.find("ledger-" + std::to_string(i));
        EXPECT_FALSE(m_placement.waitForRests(request, Start)) << i;
        m_servers.askedForRest(server, Start + (4 - i) * 1s, Start);
        request.tried.insert(server.key);
    }
    EXPECT_FALSE(m_placement.choose(call(), Start));
    EXPECT_EQ(m_placement.waitForRests(request, Start), 1s);
    EXPECT_TRUE(m_placement.choose(call(), Start + 1s));
    EXPECT_FALSE(m_placement.waitForRests(request, Start + 1s));
}

TEST_F(PlacementTest, LeavingAndTriedServersGetNothing)
{
    PlacementRequest request = call();
    BackendServer leaving = m_servers.find("ledger-0")->info;
    leaving.leaving = true;
    m_servers.put(leaving, Start);
    request.tried = { m_servers.find("ledger-1")->key, m_servers.find("ledger-2")->key };
    EXPECT_EQ(m_placement.choose(request, Start)->server->info.id, "ledger-3");
    request.tried.insert(m_servers.find("ledger-3")->key);
    EXPECT_FALSE(m_placement.choose(request, Start).has_value());
}

// Guards against the rest of a stream that a server of another version writes.
TEST_F(PlacementTest, ARestGoesToTheVersionThatBeganIt)
{
    for (int i = 0; i < 4; ++i)
        addVersion("lm", "new-" + std::to_string(i), "v2");
    PlacementRequest request = generation(42, 6000);
    request.origin = StreamOrigin { "lm", "v2" };
    for (int i = 0; i < 4; ++i) {
        const auto placed = m_placement.choose(request, Start);
        ASSERT_TRUE(placed);
        EXPECT_EQ(placed->server->info.version, "v2");
        request.tried.insert(placed->server->key);
    }
    EXPECT_FALSE(m_placement.choose(request, Start));
    request.tried.clear();
    request.origin = StreamOrigin { "ledger", "v2" };
    EXPECT_FALSE(m_placement.choose(request, Start));
}

// Guards against streams of a version that other instances can't know of yet.
TEST_F(PlacementTest, OnlyRegisteredVersionsBeginStreams)
{
    addVersion("lm", "new-0", "v2");
    m_streamVersions.read({ { { "lm", "v2" }, true, {} } }, Start, Start);
    PlacementRequest request = generation(42, 6000);
    request.beginsResumable = true;
    const auto placed = m_placement.choose(request, Start);
    ASSERT_TRUE(placed);
    EXPECT_EQ(placed->server->info.id, "new-0");
    request.tried.insert(placed->server->key);
    EXPECT_FALSE(m_placement.choose(request, Start));
}

// Guards against refusals by a process that has just started: its peers report full engines, but it
// knows neither how fast they read nor how long their streams take.
TEST_F(PlacementTest, AProcessWithoutKnowledgePredictsNothing)
{
    ServerLoad full;
    full.inFlight = 97;
    full.pendingTokens = 90000;
    full.waiting[0] = { 33, 90000 };
    PeerLoads::Loads loads;
    for (int i = 0; i < 6; ++i)
        loads[m_servers.find("lm-" + std::to_string(i))->key] = full;
    m_peers.update("peer", loads, Start);
    EXPECT_FALSE(m_placement.choose(generation(42, 6000), Start)->earliest);
    m_estimate.setReadRate("lm", 50000);
    const auto placed = m_placement.choose(generation(42, 6000), Start);
    EXPECT_FALSE(placed->earliest);
    EXPECT_FALSE(placed->hasFreeSlot);
    m_estimate.streamEnded("lm", 2s);
    EXPECT_GT(m_placement.choose(generation(42, 6000), Start)->earliest->wait, 1s);
    // Reports stop.
    m_peers.expire(Start + 10s);
    EXPECT_TRUE(m_placement.choose(generation(42, 6000), Start)->hasFreeSlot);
}

// Guards against refusals of calls long after an overload: the time that calls wait for a slot was
// taken for time that they run, by which each call that is ahead counted several times.
TEST_F(PlacementTest, TheWaitOfCallsIsNotPartOfTheirOwnDuration)
{
    constexpr auto OwnDuration = 100ms;
    for (int i = 0; i < 4; ++i)
        m_servers.find("ledger-" + std::to_string(i))->own.inFlight = 17;
    for (int i = 0; i < 20; ++i) {
        const auto placed = m_placement.choose(call(), Start);
        // 12 calls of 6 slots have to end first.
        const std::chrono::duration<double> took = 3 * OwnDuration;
        placed->server->outcomes.recordPace(took / placed->timesOwnDuration, Start);
    }
    m_servers.compareServers(m_peers, Start);
    const auto placed = m_placement.choose(call(), Start);
    ASSERT_TRUE(placed->earliest);
    EXPECT_NEAR(placed->earliest->total.count(), 0.3, 1e-6);
}

// Guards against a server that gets no calls for good: calls that end within a millisecond took
// twice as long there by chance, and without calls its speed is not measured again.
TEST_F(PlacementTest, TheJitterOfShortCallsIsNotTakenForSpeed)
{
    for (int i = 0; i < 4; ++i)
        m_servers.find("ledger-" + std::to_string(i))
            ->outcomes.recordPace(i == 0 ? 700us : 350us, Start);
    m_servers.compareServers(m_peers, Start);
    int chosen = 0;
    for (int i = 0; i < 400; ++i)
        chosen += m_placement.choose(call(), Start)->server->info.id == "ledger-0" ? 1 : 0;
    EXPECT_GT(chosen, 10);
}

// Guards against prompts that wait for a copy over a path that has been cut: engines of a data
// centre that was cut off copied from servers outside, and all its prompts were late.
TEST_F(PlacementTest, PartsAreCopiedWithinADataCentreOnly)
{
    m_engines.engine->copyPerToken = std::chrono::duration<double>(1e-7);
    m_estimate.setReadRate("lm", 50000);
    for (std::uint64_t part = 10; part < 60; ++part) {
        const auto first = m_placement.choose(generation(part, 8000), Start);
        first->server->own.pendingTokens = 40000;
        const auto second = m_placement.choose(generation(part, 8000), Start);
        first->server->own.pendingTokens = 0;
        ASSERT_NE(second->server, first->server);
        EXPECT_EQ(second->copyFrom, first->server->info.address);
    }
    for (const auto &[id, server] : m_servers.all())
        server->info.dataCentre = id;
    for (std::uint64_t part = 60; part < 110; ++part) {
        const auto first = m_placement.choose(generation(part, 8000), Start);
        first->server->own.pendingTokens = 40000;
        EXPECT_FALSE(m_placement.choose(generation(part, 8000), Start)->copyFrom);
        first->server->own.pendingTokens = 0;
    }
}

} // namespace
} // namespace snipestall::serving
