#include "snipestall/serving/peer_calls.hpp"

#include <gtest/gtest.h>

#include <set>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

/// A member in a fleet of two data centres of twenty: "a-00" and five others are its hubs.
PeerCalls member()
{
    PeerCalls calls("a-19", { "a" });
    for (const char *dataCentre : { "a", "b" }) {
        for (int i = 0; i < 20; ++i) {
            const std::string name =
                std::string(dataCentre) + (i < 10 ? "-0" : "-") + std::to_string(i);
            if (name != "a-19")
                calls.known(name, { dataCentre });
        }
    }
    return calls;
}

std::string onlyHub(PeerCalls &calls, SteadyTime now)
{
    const auto names = calls.due(now, false);
    EXPECT_EQ(names.size(), 1U);
    return names.empty() ? std::string() : names.front();
}

// Customers are refused what they are owed and servers are chosen blindly while a hub is down: each
// second a member leaves the hub that answers for the one that does not, and waits in vain.
TEST(PeerCalls, AMemberStaysWithTheHubThatAnswersUntilTheOtherIsHeard)
{
    PeerCalls calls = member();
    const std::string first = onlyHub(calls, Start);
    calls.failed(first, Start);
    const std::string second = onlyHub(calls, Start + 100ms);
    ASSERT_NE(second, first);
    for (SteadyTime now = Start + 100ms; now < Start + 10s; now += 100ms) {
        for (const std::string &name : calls.due(now, false)) {
            if (name == first) {
                calls.failed(name, now);
                continue;
            }
            EXPECT_EQ(name, second);
        }
        calls.heard(second, now);
        calls.answered(second);
        EXPECT_EQ(calls.overlay().targets(), std::vector<std::string> { second });
    }
    calls.heard(first, Start + 10s);
    calls.due(Start + 10s, false);
    EXPECT_EQ(calls.overlay().targets(), std::vector<std::string> { first });
}

// Guards against an instance that takes its own delay for the failure of its hub.
TEST(PeerCalls, AnAbandonedCallDoesNotChangeTheHub)
{
    PeerCalls calls = member();
    const std::string hub = onlyHub(calls, Start);
    calls.abandoned(hub);
    EXPECT_EQ(onlyHub(calls, Start + 200ms), hub);
}

// A hub that is overloaded or down is called by all of its members again and again.
TEST(PeerCalls, AHubThatStaysAwayIsTriedLessAndLessOften)
{
    PeerCalls calls = member();
    const std::string first = onlyHub(calls, Start);
    calls.failed(first, Start);
    int tries = 0;
    for (SteadyTime now = Start + 100ms; now < Start + 20s; now += 100ms) {
        for (const std::string &name : calls.due(now, false)) {
            tries += name == first ? 1 : 0;
            if (name == first)
                calls.failed(name, now);
            else
                calls.answered(name);
        }
    }
    EXPECT_GE(tries, 8);
    EXPECT_LE(tries, 13);
}

// Customers are refused what they are owed after a hub came back: what a member took meanwhile has
// been told another hub, and its old hub tells it again to the whole fleet.
TEST(PeerCalls, EachChangeOfTheHubBeginsAnotherStay)
{
    PeerCalls calls = member();
    const std::uint64_t first = calls.stayAt("a-00");
    calls.answered("a-00");
    EXPECT_EQ(calls.stayAt("a-00"), first);
    const std::uint64_t lost = calls.stayAt("a-01");
    calls.failed("a-01", Start);
    EXPECT_EQ(calls.stayAt("a-00"), first);
    const std::uint64_t second = calls.stayAt("a-01");
    calls.answered("a-01");
    const std::uint64_t third = calls.stayAt("a-00");
    EXPECT_EQ(std::set<std::uint64_t>({ first, lost, second, third }).size(), 4U);
}

} // namespace
} // namespace snipestall::serving
