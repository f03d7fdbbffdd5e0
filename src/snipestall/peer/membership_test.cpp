#include "snipestall/peer/membership.hpp"

#include <gtest/gtest.h>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::steady_clock::time_point;

const Time Start { 1h };

Heartbeat makeHeartbeat(const std::string &name, std::uint64_t incarnation, bool leaving = false)
{
    return { name, "samsun-hall", incarnation, leaving, 0, {} };
}

class MembershipTest : public testing::Test
{
protected:
    Membership m_members { "samsun-1", "samsun-hall", 3000ms };
};

TEST_F(MembershipTest, AMemberWithoutHeartbeatsIsSuspectedUntilTheNextOne)
{
    m_members.heartbeatReceived(makeHeartbeat("samsun-2", 1), Start);
    m_members.tick(Start + 4s);
    EXPECT_TRUE(m_members.livePeers().empty());
    m_members.heartbeatReceived(makeHeartbeat("samsun-2", 1), Start + 5s);
    EXPECT_EQ(m_members.livePeers().size(), 1U);
}

// An instance has announced that it is leaving. A heartbeat that was sent before and the platform's
// outdated list still report it as live. Accepting either would send it new work until it stops.
TEST_F(MembershipTest, LeavingIsStickyForOneIncarnation)
{
    m_members.heartbeatReceived(makeHeartbeat("samsun-2", 1, true), Start);
    m_members.heartbeatReceived(makeHeartbeat("samsun-2", 1, false), Start + 1s);
    m_members.addKnownMember("samsun-2", "samsun-hall", "127.0.0.1:1");
    EXPECT_TRUE(m_members.livePeers().empty());
    m_members.heartbeatReceived(makeHeartbeat("samsun-2", 2, false), Start + 2s);
    EXPECT_EQ(m_members.livePeers().size(), 1U);
}

// A message of a former incarnation arrives after a heartbeat of the new one. If it were applied,
// the new incarnation would be considered leaving and never get work.
TEST_F(MembershipTest, ALateMessageOfAFormerIncarnationIsIgnored)
{
    m_members.heartbeatReceived(makeHeartbeat("samsun-2", 2), Start);
    m_members.heartbeatReceived(makeHeartbeat("samsun-2", 1, true), Start + 1s);
    EXPECT_EQ(m_members.livePeers().size(), 1U);
}

// Two data centres are connected by gateways whose addresses are in the settings. A heartbeat
// contains the address behind the gateway. With that address, this instance could not call its
// peer.
TEST_F(MembershipTest, TheAddressOfTheSettingsIsKeptUntilTheInstanceIsReplaced)
{
    m_members.addKnownMember("samsun-2", "samsun-hall", "127.0.0.1:1");
    Heartbeat heartbeat = makeHeartbeat("samsun-2", 1);
    heartbeat.address = "127.0.0.1:2";
    m_members.heartbeatReceived(heartbeat, Start);
    EXPECT_EQ(m_members.find("samsun-2")->address, "127.0.0.1:1");
    heartbeat.incarnation = 2;
    m_members.heartbeatReceived(heartbeat, Start + 1s);
    EXPECT_EQ(m_members.find("samsun-2")->address, "127.0.0.1:2");
}

// The platform's list is unavailable and a peer is first known by its own heartbeat. Without the
// address in that heartbeat it could never get a copy or a request.
TEST_F(MembershipTest, TheAddressInAnUnknownPeersHeartbeatIsUsed)
{
    Heartbeat heartbeat = makeHeartbeat("samsun-3", 1);
    heartbeat.address = "127.0.0.1:3";
    m_members.heartbeatReceived(heartbeat, Start);
    EXPECT_EQ(m_members.find("samsun-3")->address, "127.0.0.1:3");
}

TEST_F(MembershipTest, ALeavingInstanceOwnsNothing)
{
    EXPECT_EQ(m_members.owners().size(), 1U);
    m_members.setSelfLeaving();
    EXPECT_TRUE(m_members.owners().empty());
}

} // namespace
} // namespace snipestall::peer
