#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;

/// Tests requests that were accepted by an instance that has no backend server for them.
class StrandedTest : public testing::Test
{
protected:
    StrandedTest()
    {
        m_fleet.addCustomer("reviews");
        m_fleet.start();
    }

    void peerReports(std::uint32_t freeSlots)
    {
        PeerSummary summary { { 7 }, "samsun-2", "samsun-hall", {} };
        summary.pools.emplace_back().service = "airtime";
        summary.pools.back().freeSlots = freeSlots;
        summary.pools.back().servers = 2;
        m_fleet.give(summary);
    }

    void peerDeclines(RequestHandle request)
    {
        const AttemptHandle attempt = m_fleet.of(request).forwards.back().attempt;
        m_fleet.give(AttemptEnded { request, attempt, AttemptResult::Declined, {} });
    }

    RequestArrived patient(bool forwarded)
    {
        RequestArrived event = m_fleet.request("reviews", Urgency::Patient);
        event.forwarded = forwarded;
        return event;
    }

    FakeFleet m_fleet;
};

// A caller's review gets no answer for a minute and then fails as expired, although another
// instance has idle engines. In the overload after a reclaim each peer declined the review; it used
// up its offers and waited here, where no engine was left to wait for.
TEST_F(StrandedTest, ARequestThatAllPeersDeclinedIsOfferedAgainWhenOneHasRoom)
{
    peerReports(3);
    const RequestHandle request = m_fleet.send(patient(false));
    for (int i = 0; i < 3; ++i) {
        ASSERT_EQ(m_fleet.of(request).forwards.size(), static_cast<std::size_t>(i + 1));
        peerDeclines(request);
        m_fleet.runFor(1s);
        peerReports(i < 2 ? 3 : 0);
    }
    m_fleet.runFor(1s);
    ASSERT_EQ(m_fleet.of(request).forwards.size(), 3U);
    peerReports(3);
    EXPECT_EQ(m_fleet.of(request).forwards.size(), 4U);
}

// In the same overload twenty such requests wait here. If all were offered at once to a peer that
// has a slot free, they would take it from requests that arrive there; the room of one summary must
// be used once.
TEST_F(StrandedTest, ReportedRoomOfAPeerIsUsedOnce)
{
    constexpr int Requests = 20;
    std::vector<RequestHandle> crowd;
    crowd.reserve(Requests);
    peerReports(1000);
    for (int i = 0; i < Requests; ++i)
        crowd.push_back(m_fleet.send(patient(false)));
    for (std::size_t offers = 1; offers <= 3; ++offers) {
        for (const RequestHandle request : crowd) {
            ASSERT_EQ(m_fleet.of(request).forwards.size(), offers);
            peerDeclines(request);
        }
        peerReports(offers < 3 ? 1000 : 0);
    }
    // Four fifths of the free slots in a summary are used.
    peerReports(5);
    EXPECT_EQ(std::ranges::count_if(crowd,
                                    [this](RequestHandle request) {
                                        return m_fleet.of(request).forwards.size() > 3;
                                    }),
              4);
}

// A review that was forwarded to the owner of an engine waits until its deadline, although a peer
// has room: the engine was reclaimed with notice while the review waited for it, and the owner,
// which may not forward the review on, kept it.
TEST_F(StrandedTest, ForwardedRequestsOfAReclaimedServerGoHomeOnceAPeerHasRoom)
{
    const ServerHandle only = m_fleet.addServer(1);
    m_fleet.send(patient(true));
    const RequestHandle waiting = m_fleet.send(patient(true));
    m_fleet.reclaim(only, 1s);
    m_fleet.runFor(2s);
    ASSERT_FALSE(m_fleet.of(waiting).refused);
    peerReports(0);
    EXPECT_FALSE(m_fleet.of(waiting).refused);
    peerReports(2);
    ASSERT_TRUE(m_fleet.of(waiting).refused);
    EXPECT_EQ(m_fleet.of(waiting).refused->reason, RefusalReason::NoCapacity);
    EXPECT_TRUE(m_fleet.of(waiting).forwards.empty());
}

} // namespace
} // namespace snipestall::policy
