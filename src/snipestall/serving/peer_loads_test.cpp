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

} // namespace
} // namespace snipestall::serving
