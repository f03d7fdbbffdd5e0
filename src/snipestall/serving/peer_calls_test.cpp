#include "snipestall/serving/peer_calls.hpp"

#include <gtest/gtest.h>

#include <set>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

/// A member in a fleet of two data centres with twenty instances each; its hubs are "a-00" and five
/// others.
PeerCalls member()
{
    PeerCalls calls("a-19", { "a" });
    for (const char *dataCentre : { "a", "b" }) {
        for (int i = 0; i < 20; ++i) {
            const std::string name =
                std::string(dataCentre) + (i < 10 ? "-0" : "-") + std::to_string(i);
            if (name != "a-19")
                calls.addPeer(name, { dataCentre });
        }
    }
    return calls;
}

std::string onlyHub(PeerCalls &calls, SteadyTime now)
{
    const auto names = calls.dueCalls(now, false);
    EXPECT_EQ(names.size(), 1U);
    return names.empty() ? std::string() : names.front();
}

// Guards against wrong refusals and badly chosen servers while a hub is down: each second a member
// leaves the hub that answers for the one that does not, and waits in vain.
TEST(PeerCalls, AMemberStaysWithTheHubThatAnswersUntilTheOtherAnswers)
{
    PeerCalls calls = member();
    const std::string first = onlyHub(calls, Start);
    calls.callFailed(first, Start);
    const std::string second = onlyHub(calls, Start + 100ms);
    ASSERT_NE(second, first);
    for (SteadyTime now = Start + 100ms; now < Start + 10s; now += 100ms) {
        for (const std::string &name : calls.dueCalls(now, false)) {
            if (name == first) {
                calls.callFailed(name, now);
                continue;
            }
            EXPECT_EQ(name, second);
        }
        calls.reportReceived(second, now);
        calls.callAnswered(second);
        EXPECT_EQ(calls.overlay().targets(), std::vector<std::string> { second });
    }
    calls.reportReceived(first, Start + 10s);
    calls.dueCalls(Start + 10s, false);
    EXPECT_EQ(calls.overlay().targets(), std::vector<std::string> { first });
}

// Guards against an instance that takes its own delay as a failure of its hub.
TEST(PeerCalls, AnAbandonedCallDoesNotChangeTheHub)
{
    PeerCalls calls = member();
    const std::string hub = onlyHub(calls, Start);
    calls.callAbandoned(hub);
    EXPECT_EQ(onlyHub(calls, Start + 200ms), hub);
}

// Guards against a hub that is overloaded or down and is called by all of its members again and
// again.
TEST(PeerCalls, AHubThatKeepsFailingIsTriedLessOften)
{
    PeerCalls calls = member();
    const std::string first = onlyHub(calls, Start);
    calls.callFailed(first, Start);
    int tries = 0;
    for (SteadyTime now = Start + 100ms; now < Start + 20s; now += 100ms) {
        for (const std::string &name : calls.dueCalls(now, false)) {
            tries += name == first ? 1 : 0;
            if (name == first)
                calls.callFailed(name, now);
            else
                calls.callAnswered(name);
        }
    }
    EXPECT_GE(tries, 8);
    EXPECT_LE(tries, 13);
}

// Guards against requests within the quota that are refused after a hub has returned: the use of a
// member in the meantime was reported to another hub, and its old hub reports it again to all
// instances.
TEST(PeerCalls, EachChangeOfTheHubBeginsANewSession)
{
    PeerCalls calls = member();
    const std::uint64_t first = calls.hubSession("a-00");
    calls.callAnswered("a-00");
    EXPECT_EQ(calls.hubSession("a-00"), first);
    const std::uint64_t lost = calls.hubSession("a-01");
    calls.callFailed("a-01", Start);
    EXPECT_EQ(calls.hubSession("a-00"), first);
    const std::uint64_t second = calls.hubSession("a-01");
    calls.callAnswered("a-01");
    const std::uint64_t third = calls.hubSession("a-00");
    EXPECT_EQ(std::set<std::uint64_t>({ first, lost, second, third }).size(), 4U);
}

} // namespace
} // namespace snipestall::serving
