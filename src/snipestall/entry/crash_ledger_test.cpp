#include "snipestall/entry/crash_ledger.hpp"

#include <gtest/gtest.h>

namespace snipestall::entry {
namespace {

using namespace std::chrono_literals;
const std::chrono::steady_clock::time_point Start { 1h };

TEST(CrashLedgerTest, ServersAddUpOverReportsAndRepeatsCountOnce)
{
    CrashLedger ledger;
    EXPECT_TRUE(ledger.add({ 7, "a" }, Start));
    EXPECT_FALSE(ledger.add({ 7, "a" }, Start + 1s));
    EXPECT_TRUE(ledger.add({ 7, "b" }, Start + 2s));
    EXPECT_EQ(ledger.servers(7).size(), 2U);
    EXPECT_TRUE(ledger.servers(8).empty());
    ledger.expire(Start + 1h);
    EXPECT_TRUE(ledger.servers(7).empty());
}

// Three copies of a crashing request reach three instances within a second. If each were retried
// after the first crash, three servers would be lost where two are allowed.
TEST(CrashLedgerTest, ACopyThatArrivesDuringTheTrialWaits)
{
    CrashLedger ledger;
    EXPECT_EQ(ledger.remainingTrialTime(7, Start), 0ms);
    ledger.add({ 7, "a" }, Start);
    EXPECT_GT(ledger.remainingTrialTime(7, Start + 1s), 0ms);
    EXPECT_EQ(ledger.remainingTrialTime(8, Start + 1s), 0ms);
    EXPECT_EQ(ledger.remainingTrialTime(7, Start + 11s), 0ms);
}

// A rack fails: six servers go down within a second, and a request that was moved from the first to
// the second was on both. Quarantining it would attribute a power failure to the caller.
TEST(CrashLedgerTest, CrashesOfAFailedRackAreNotAttributedToARequest)
{
    CrashLedger ledger;
    ledger.add({ 7, "s0" }, Start);
    ledger.add({ 7, "s1" }, Start + 500ms);
    for (int i = 0; i < 6; ++i)
        ledger.add({ 100U + static_cast<unsigned>(i), "s" + std::to_string(i) }, Start + 1s);
    EXPECT_TRUE(ledger.servers(7).empty());
}

// A crashing request takes down four servers in a row, each with another request beside it. It was
// on all four.
TEST(CrashLedgerTest, CrashesInARowAreAttributedToTheRequestOnAllServers)
{
    CrashLedger ledger;
    for (int i = 0; i < 4; ++i) {
        ledger.add({ 7, "s" + std::to_string(i) }, Start + i * 1s);
        ledger.add({ 100U + static_cast<unsigned>(i), "s" + std::to_string(i) }, Start + i * 1s);
    }
    EXPECT_EQ(ledger.servers(7).size(), 4U);
}

} // namespace
} // namespace snipestall::entry
