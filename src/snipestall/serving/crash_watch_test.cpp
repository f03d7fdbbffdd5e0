#include "snipestall/serving/crash_watch.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };
constexpr std::uint64_t Crashing = 7;

void end(CrashWatch &watch, const std::string &server, SteadyTime now)
{
    watch.broke(Crashing, server, now);
    watch.refused(server, now + 200ms);
}

// Streams of many callers break again and again: one caller repeats a request that ends each server
// that begins it, and every instance passes it on.
TEST(CrashWatch, ARequestThatEndedThreeServersIsBlocked)
{
    CrashWatch watch;
    end(watch, "a", Start);
    end(watch, "b", Start + 1s);
    EXPECT_FALSE(watch.blocked(Crashing, Start + 2s));
    end(watch, "c", Start + 2s);
    EXPECT_TRUE(watch.blocked(Crashing, Start + 3s));
    EXPECT_FALSE(watch.blocked(Crashing + 1, Start + 3s));
    EXPECT_FALSE(watch.blocked(Crashing, Start + 200s));
}

// A caller's request is refused for minutes although nothing is wrong with it: its answers were
// lost on the way three times, from servers that went on serving.
TEST(CrashWatch, LostAnswersOfServersThatLiveBlockNothing)
{
    CrashWatch watch;
    for (const char *server : { "a", "b", "c", "d" })
        watch.broke(Crashing, server, Start);
    EXPECT_FALSE(watch.blocked(Crashing, Start));
    // A server that refuses much later ended for another reason.
    watch.refused("a", Start + 5s);
    watch.refused("b", Start + 5s);
    watch.refused("c", Start + 5s);
    EXPECT_FALSE(watch.blocked(Crashing, Start + 5s));
}

// Many callers send one call with the same empty body; it is in flight at each server of a rack
// that loses its power. Blamed for that, it would be refused to all of them for minutes.
TEST(CrashWatch, WhatAServerAnsweredIsBlamedForNoEnd)
{
    CrashWatch watch;
    watch.answered(Crashing, Start);
    for (const char *server : { "a", "b", "c" })
        end(watch, server, Start + 1s);
    EXPECT_FALSE(watch.blocked(Crashing, Start + 2s));
    // The same when its answer comes after the ends, as of a server that did not end.
    for (const char *server : { "a", "b", "c" }) {
        watch.broke(Crashing + 1, server, Start + 1s);
        watch.refused(server, Start + 1s);
    }
    EXPECT_TRUE(watch.blocked(Crashing + 1, Start + 2s));
    watch.answered(Crashing + 1, Start + 2s);
    EXPECT_FALSE(watch.blocked(Crashing + 1, Start + 2s));
}

// All streams of a server break at once. One look whether it has ended is enough for all of them.
TEST(CrashWatch, AServerThatBrokeOffIsLookedAtOnce)
{
    CrashWatch watch;
    EXPECT_TRUE(watch.broke(1, "a", Start));
    EXPECT_FALSE(watch.broke(2, "a", Start));
    EXPECT_TRUE(watch.inDoubt("a"));
    watch.stillListens("a");
    EXPECT_FALSE(watch.inDoubt("a"));
    EXPECT_TRUE(watch.broke(3, "a", Start + 1s));
    watch.refused("a", Start + 1s);
    EXPECT_FALSE(watch.inDoubt("a"));
    for (const std::uint64_t fingerprint : { 1, 2, 3 })
        EXPECT_TRUE(watch.hasEndedServer(fingerprint));
}

TEST(CrashWatch, InstancesAddUpWhatTheySaw)
{
    CrashWatch first;
    CrashWatch second;
    end(first, "a", Start);
    end(first, "b", Start);
    end(second, "c", Start);
    for (const CrashReport &report : first.recent(Start + 1s))
        second.reported(report, Start + 1s);
    EXPECT_TRUE(second.blocked(Crashing, Start + 1s));
    EXPECT_TRUE(first.recent(Start + 10s).empty());
}

TEST(CrashWatch, AReportGoesRoundOnce)
{
    CrashWatch watch;
    watch.reported({ Crashing, "a" }, Start);
    watch.reported({ Crashing, "a" }, Start + 2s);
    EXPECT_EQ(watch.recent(Start + 1s).size(), 1U);
    EXPECT_TRUE(watch.recent(Start + 4s).empty());
}

} // namespace
} // namespace snipestall::serving
