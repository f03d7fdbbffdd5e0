#include "snipestall/serving/usage_ledger.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

// Guards against usage that counts twice or too low: the counts of a process reach the holder of
// the lease by its own row, the row of its hub and the reports of peers, in any order and from
// different times.
TEST(UsageLedger, TheGreatestOfSeveralReportsOfAProcessCounts)
{
    UsageLedger ledger;
    ledger.addCounts(7, "a/1", { { "harbour", 10 } });
    ledger.addCounts(7, "a/1", { { "harbour", 12 }, { "ferry", 1 } });
    ledger.addCounts(7, "a/1", { { "harbour", 11 } });
    ledger.addCounts(7, "b/1", { { "harbour", 5 } });
    EXPECT_EQ(ledger.total(7), (UsageCounts { { "harbour", 17 }, { "ferry", 1 } }));
    EXPECT_EQ(ledger.countsByProcess(7).at("a/1"),
              (UsageCounts { { "harbour", 12 }, { "ferry", 1 } }));
}

TEST(UsageLedger, ARestartedProcessCountsInAdditionToThePreviousOne)
{
    UsageLedger ledger;
    ledger.addCounts(7, "a/1", { { "harbour", 10 } });
    ledger.addCounts(7, "a/2", { { "harbour", 3 } });
    EXPECT_EQ(ledger.total(7), (UsageCounts { { "harbour", 13 } }));
}

TEST(UsageLedger, ADroppedWindowHasNoCounts)
{
    UsageLedger ledger;
    ledger.addCounts(7, "a/1", { { "harbour", 10 } });
    ledger.dropBefore(8);
    EXPECT_TRUE(ledger.countsByProcess(7).empty());
    EXPECT_TRUE(ledger.total(7).empty());
}

} // namespace
} // namespace snipestall::serving
