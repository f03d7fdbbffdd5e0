#include "snipestall/peer/membership.hpp"

#include <gtest/gtest.h>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::steady_clock::time_point;

const Time Start { 1h };

Heartbeat beat(const std::string &name, std::uint64_t incarnation, bool leaving = false)
{
    return { name, "samsun-hall", incarnation, leaving, 0, {} };
}

class MembershipTest : public testing::Test
{
protected:
    Membership m_members { "samsun-1", "samsun-hall", 3000ms };
};

TEST_F(MembershipTest, ASilentMemberIsSuspectedAndComesBackWhenHeard)
{
    m_members.heard(beat("samsun-2", 1), Start);
    m_members.tick(Start + 4s);
    EXPECT_TRUE(m_members.livePeers().empty());
    m_members.heard(beat("samsun-2", 1), Start + 5s);
    EXPECT_EQ(m_members.livePeers().size(), 1U);
}

// An instance said that it leaves; then a heartbeat that was sent before, and the platform's
// lagging list, still call it live. Taking either's word would send it new work until it dies.
TEST_F(MembershipTest, LeavingIsStickyForOneIncarnation)
{
    m_members.heard(beat("samsun-2", 1, true), Start);
    m_members.heard(beat("samsun-2", 1, false), Start + 1s);
    m_members.learn("samsun-2", "samsun-hall", "127.0.0.1:1");
    EXPECT_TRUE(m_members.livePeers().empty());
    m_members.heard(beat("samsun-2", 2, false), Start + 2s);
    EXPECT_EQ(m_members.livePeers().size(), 1U);
}

// A message of an instance's former life arrives after the new one has been heard. Were it
// believed, the new instance would be taken for leaving and never be given work.
TEST_F(MembershipTest, ALateMessageOfAFormerIncarnationSaysNothing)
{
    m_members.heard(beat("samsun-2", 2), Start);
    m_members.heard(beat("samsun-2", 1, true), Start + 1s);
    EXPECT_EQ(m_members.livePeers().size(), 1U);
}

// Two data centres are joined by gateways, whose addresses stand in the settings. A heartbeat names
// the address behind the gateway; were that taken, this instance could not call its peer back.
TEST_F(MembershipTest, TheAddressOfTheSettingsStandsUntilTheInstanceIsReplaced)
{
    m_members.learn("samsun-2", "samsun-hall", "127.0.0.1:1");
    Heartbeat heartbeat = beat("samsun-2", 1);
    heartbeat.address = "127.0.0.1:2";
    m_members.heard(heartbeat, Start);
    EXPECT_EQ(m_members.find("samsun-2")->address, "127.0.0.1:1");
    heartbeat.incarnation = 2;
    m_members.heard(heartbeat, Start + 1s);
    EXPECT_EQ(m_members.find("samsun-2")->address, "127.0.0.1:2");
}

// The platform's list is down and a peer is first heard of by its own call: without the address
// it names, it could never be given a copy or a request.
TEST_F(MembershipTest, AnUnknownPeersOwnAddressIsTaken)
{
    Heartbeat heartbeat = beat("samsun-3", 1);
    heartbeat.address = "127.0.0.1:3";
    m_members.heard(heartbeat, Start);
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
