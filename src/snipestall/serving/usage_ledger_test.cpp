#include "snipestall/serving/usage_ledger.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

// Customers are billed twice, or too little: a process's counts reach the holder of the duty by its
// own row, by its hub's and by peers' reports, in any order and as of different moments.
TEST(UsageLedger, OfSeveralStatementsOfAProcessTheGreaterCounts)
{
    UsageLedger ledger;
    ledger.said(7, "a/1", { { "harbour", 10 } });
    ledger.said(7, "a/1", { { "harbour", 12 }, { "ferry", 1 } });
    ledger.said(7, "a/1", { { "harbour", 11 } });
    ledger.said(7, "b/1", { { "harbour", 5 } });
    EXPECT_EQ(ledger.total(7), (UsageCounts { { "harbour", 17 }, { "ferry", 1 } }));
    EXPECT_EQ(ledger.of(7).at("a/1"), (UsageCounts { { "harbour", 12 }, { "ferry", 1 } }));
}

TEST(UsageLedger, AProcessThatStartedAgainCountsBesideTheOneBefore)
{
    UsageLedger ledger;
    ledger.said(7, "a/1", { { "harbour", 10 } });
    ledger.said(7, "a/2", { { "harbour", 3 } });
    EXPECT_EQ(ledger.total(7), (UsageCounts { { "harbour", 13 } }));
}

TEST(UsageLedger, NothingIsKnownOfAWindowThatWasDropped)
{
    UsageLedger ledger;
    ledger.said(7, "a/1", { { "harbour", 10 } });
    ledger.dropBefore(8);
    EXPECT_TRUE(ledger.of(7).empty());
    EXPECT_TRUE(ledger.total(7).empty());
}

} // namespace
} // namespace snipestall::serving
