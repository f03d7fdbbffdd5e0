#include "snipestall/serving/crash_watch.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };
constexpr std::uint64_t Crashing = 7;

void crash(CrashWatch &watch, const std::string &server, SteadyTime now)
{
    watch.connectionBroke(Crashing, server, now);
    watch.connectionRefused(server, now + 200ms);
}

// Guards against one caller who repeats a request that crashes every server that starts it: every
// instance passes it on, and the streams of many callers break again and again.
TEST(CrashWatch, ARequestThatCrashedThreeServersIsBlocked)
{
    CrashWatch watch;
    crash(watch, "a", Start);
    crash(watch, "b", Start + 1s);
    EXPECT_FALSE(watch.isBlocked(Crashing, Start + 2s));
    crash(watch, "c", Start + 2s);
    EXPECT_TRUE(watch.isBlocked(Crashing, Start + 3s));
    EXPECT_FALSE(watch.isBlocked(Crashing + 1, Start + 3s));
    EXPECT_FALSE(watch.isBlocked(Crashing, Start + 200s));
}

// Guards against refusing a harmless request for minutes: its answers were lost on the network
// three times, and the servers went on serving.
TEST(CrashWatch, LostAnswersOfRunningServersBlockNothing)
{
    CrashWatch watch;
    for (const char *server : { "a", "b", "c", "d" })
        watch.connectionBroke(Crashing, server, Start);
    EXPECT_FALSE(watch.isBlocked(Crashing, Start));
    // A server that refuses connections much later ended for another reason.
    watch.connectionRefused("a", Start + 5s);
    watch.connectionRefused("b", Start + 5s);
    watch.connectionRefused("c", Start + 5s);
    EXPECT_FALSE(watch.isBlocked(Crashing, Start + 5s));
}

// Guards against refusing a harmless call to all callers for minutes: many callers send the same
// call with an empty body, and it is in flight at each server of a rack that loses its power.
TEST(CrashWatch, AnAnsweredRequestIsNotBlocked)
{
    CrashWatch watch;
    watch.requestAnswered(Crashing, Start);
    for (const char *server : { "a", "b", "c" })
        crash(watch, server, Start + 1s);
    EXPECT_FALSE(watch.isBlocked(Crashing, Start + 2s));
    // The same applies if the answer arrives after the crashes, from a server that did not crash.
    for (const char *server : { "a", "b", "c" }) {
        watch.connectionBroke(Crashing + 1, server, Start + 1s);
        watch.connectionRefused(server, Start + 1s);
    }
    EXPECT_TRUE(watch.isBlocked(Crashing + 1, Start + 2s));
    watch.requestAnswered(Crashing + 1, Start + 2s);
    EXPECT_FALSE(watch.isBlocked(Crashing + 1, Start + 2s));
}

// All streams of a server break at once. One check whether the server has crashed is enough for all
// of them.
TEST(CrashWatch, AServerWhoseConnectionsBrokeIsCheckedOnce)
{
    CrashWatch watch;
    EXPECT_TRUE(watch.connectionBroke(1, "a", Start));
    EXPECT_FALSE(watch.connectionBroke(2, "a", Start));
    EXPECT_TRUE(watch.isBeingChecked("a"));
    watch.foundRunning("a");
    EXPECT_FALSE(watch.isBeingChecked("a"));
    EXPECT_TRUE(watch.connectionBroke(3, "a", Start + 1s));
    watch.connectionRefused("a", Start + 1s);
    EXPECT_FALSE(watch.isBeingChecked("a"));
    for (const std::uint64_t fingerprint : { 1, 2, 3 })
        EXPECT_TRUE(watch.hasCrashedServer(fingerprint));
}

TEST(CrashWatch, ReportsOfAllInstancesCount)
{
    CrashWatch first;
    CrashWatch second;
    crash(first, "a", Start);
    crash(first, "b", Start);
    crash(second, "c", Start);
    for (const CrashReport &report : first.recentReports(Start + 1s))
        second.addReport(report, Start + 1s);
    EXPECT_TRUE(second.isBlocked(Crashing, Start + 1s));
    EXPECT_TRUE(first.recentReports(Start + 10s).empty());
}

// Guards against further crashes after each start of an instance that was told of recent crashes
// only.
TEST(CrashWatch, AnInstanceThatStartsLaterLearnsWhatIsBlockedAndUntilWhen)
{
    CrashWatch first;
    for (const char *server : { "a", "b", "c" })
        crash(first, server, Start);
    CrashWatch later;
    for (const CrashReport &report : first.allReports(Start + 60s))
        later.addReport(report, Start + 60s);
    EXPECT_TRUE(later.isBlocked(Crashing, Start + 60s));
    EXPECT_TRUE(later.isBlocked(Crashing, Start + 119s));
    EXPECT_FALSE(later.isBlocked(Crashing, Start + 121s));
}

TEST(CrashWatch, AReportIsSentOnOnlyOnce)
{
    CrashWatch watch;
    watch.addReport({ Crashing, "a" }, Start);
    watch.addReport({ Crashing, "a" }, Start + 2s);
    EXPECT_EQ(watch.recentReports(Start + 1s).size(), 1U);
    EXPECT_TRUE(watch.recentReports(Start + 4s).empty());
}

} // namespace
} // namespace snipestall::serving
