#include "snipestall/serving/customer_shares.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

// Guards against neighbours that pay for a flood: only its sender is over its share.
TEST(CustomerShares, OnlyTheFloodIsOver)
{
    CustomerShares shares;
    shares.update({ { "large", 500, 900 }, { "small", 50, 90 }, { "flood", 600, 180 } });
    EXPECT_TRUE(shares.isOver("flood"));
    EXPECT_FALSE(shares.isOver("large"));
    EXPECT_FALSE(shares.isOver("small"));
    shares.update({ { "large", 500, 900 }, { "small", 50, 90 }, { "flood", 100, 180 } });
    EXPECT_FALSE(shares.isOver("flood"));
}

TEST(CustomerShares, WithoutQuotasAllSharesAreEqual)
{
    CustomerShares shares;
    shares.update({ { "a", 600, 0 }, { "b", 100, 0 }, { "c", 100, 0 }, { "d", 100, 0 } });
    EXPECT_TRUE(shares.isOver("a"));
    EXPECT_FALSE(shares.isOver("b"));
}

// Guards against a general overload that is blamed on whoever sends a little more than the others.
TEST(CustomerShares, NobodyIsOverWhenAllAskForMore)
{
    CustomerShares shares;
    shares.update({ { "a", 1800, 1000 }, { "b", 2000, 1000 }, { "c", 1900, 1000 } });
    for (const char *customer : { "a", "b", "c" })
        EXPECT_FALSE(shares.isOver(customer));
}

// Guards against small customers that starve: one long prompt is many times a small share.
TEST(CustomerShares, ASmallCustomerIsNotOverByChance)
{
    CustomerShares shares;
    shares.update({ { "large", 500000, 900000 }, { "small", 12000, 3000 } });
    EXPECT_FALSE(shares.isOver("small"));
}

// Guards against a customer that is refused first because it has no quota while others have one.
TEST(CustomerShares, ACustomerWithoutAQuotaHasAShare)
{
    CustomerShares shares;
    shares.update({ { "a", 100, 300 }, { "b", 100, 300 }, { "open", 100, 0 } });
    EXPECT_FALSE(shares.isOver("open"));
    shares.update({ { "a", 100, 300 }, { "b", 100, 300 }, { "open", 900, 0 } });
    EXPECT_TRUE(shares.isOver("open"));
}

// Guards against a flood of a customer with most of the quota that raises the average so far that
// its share covers the flood.
TEST(CustomerShares, AFloodDoesNotRaiseItsOwnShare)
{
    CustomerShares shares;
    shares.update({ { "large", 3000, 1000 }, { "small", 90, 90 } });
    EXPECT_TRUE(shares.isOver("large"));
    EXPECT_FALSE(shares.isOver("small"));
}

} // namespace
} // namespace snipestall::serving
