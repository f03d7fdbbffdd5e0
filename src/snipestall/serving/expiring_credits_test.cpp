#include "snipestall/serving/expiring_credits.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

TEST(ExpiringCredits, SpendsNothingIfThereAreNotEnough)
{
    ExpiringCredits credits(10s);
    credits.add({ Start, 0.75 });
    EXPECT_FALSE(credits.trySpend(1, Start));
    EXPECT_EQ(credits.total(Start), 0.75);
}

TEST(ExpiringCredits, SpendsTheOldestFirst)
{
    ExpiringCredits credits(10s);
    credits.add({ Start + 5s, 1 });
    credits.add({ Start, 1 });
    EXPECT_TRUE(credits.trySpend(1, Start + 6s));
    EXPECT_EQ(credits.total(Start + 14s), 1);
    EXPECT_EQ(credits.total(Start + 15s), 0);
}

// Guards against credits that live longer because they are taken out and added elsewhere.
TEST(ExpiringCredits, CreditsThatAreTakenOutKeepTheAgeOfTheOldest)
{
    ExpiringCredits credits(10s);
    credits.add({ Start, 1 });
    credits.add({ Start + 5s, 1 });
    const ExpiringCredits::Batch taken = credits.takeNewest(1.5, Start + 6s);
    EXPECT_EQ(taken.amount, 1.5);
    EXPECT_EQ(taken.earnedAt, Start);
    EXPECT_EQ(credits.total(Start + 6s), 0.5);
}

} // namespace
} // namespace snipestall::serving
