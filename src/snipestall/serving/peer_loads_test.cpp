#include "snipestall/serving/peer_loads.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

PeerLoads::Loads loadsOf(const std::string &server, std::uint32_t inFlight, double tokens)
{
    ServerLoad load;
    load.inFlight = inFlight;
    load.pendingTokens = tokens;
    load.waiting[1] = { 1, tokens };
    return { { server, load } };
}

// Guards against a load that counts twice or stays behind when a peer reports again.
TEST(PeerLoads, ANewReportReplacesTheOneBefore)
{
    PeerLoads peers;
    peers.update("one", loadsOf("lm-1", 3, 500), Start);
    peers.update("other", loadsOf("lm-1", 2, 100), Start);
    peers.update("one", loadsOf("lm-2", 1, 50), Start);
    EXPECT_EQ(peers.at("lm-1").inFlight, 2U);
    EXPECT_EQ(peers.at("lm-1").pendingTokens, 100);
    EXPECT_EQ(peers.at("lm-1").waiting[1].tokens, 100);
    EXPECT_EQ(peers.at("lm-2").inFlight, 1U);
    peers.forget("other");
    EXPECT_EQ(peers.at("lm-1").inFlight, 0U);
}

// Guards against servers that look loaded for good after an instance has ended.
TEST(PeerLoads, OldReportsExpire)
{
    PeerLoads peers;
    peers.update("one", loadsOf("lm-1", 3, 500), Start);
    peers.update("other", loadsOf("lm-1", 2, 100), Start + 2s);
    peers.expire(Start + 2600ms);
    EXPECT_EQ(peers.at("lm-1").inFlight, 2U);
    peers.expire(Start + 5s);
    EXPECT_EQ(peers.at("lm-1").inFlight, 0U);
    peers.forget("one");
    EXPECT_EQ(peers.at("lm-1").inFlight, 0U);
}

// Guards against a fleet that knows nothing, or avoids servers for good, after a hub was lost with
// what its members had seen: the counts are missing until the next hub reports, and then count
// once.
TEST(PeerLoads, TheOutcomesOfALostHubAreReplacedByThoseOfTheNext)
{
    PeerLoads peers;
    ServerLoad load;
    load.outcomes = { 2.03, 8.01, 1.07, 20ms };
    const PeerLoads::Loads fleet { { "lm-1", load } };
    peers.update("hub-a", fleet, Start);
    peers.update("neighbour", fleet, Start);
    peers.forget("hub-a");
    EXPECT_NEAR(peers.at("lm-1").outcomes.failed, 8.01, 1e-9);
    peers.update("hub-b", fleet, Start + 400ms);
    EXPECT_NEAR(peers.at("lm-1").outcomes.failed, 16.02, 1e-9);
    EXPECT_NEAR(peers.at("lm-1").outcomes.failureRate(), 0.798, 0.001);
    peers.expire(Start + 2700ms);
    EXPECT_NEAR(peers.at("lm-1").outcomes.failed, 8.01, 1e-9);
    peers.expire(Start + 3s);
    EXPECT_EQ(peers.at("lm-1").outcomes.failureRate(), 0);
    EXPECT_FALSE(peers.at("lm-1").outcomes.averagePace());
}

} // namespace
} // namespace snipestall::serving
