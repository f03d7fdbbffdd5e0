#include "snipestall/base/recent_hashes.hpp"

#include <gtest/gtest.h>

namespace snipestall {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 1000s };

TEST(RecentHashes, ForgetsHashesAfterMinutes)
{
    RecentHashes recent;
    recent.add(7, Start);
    EXPECT_TRUE(recent.contains(7));
    EXPECT_FALSE(recent.contains(8));
    recent.add(8, Start + 130s);
    EXPECT_TRUE(recent.contains(7));
    recent.add(9, Start + 260s);
    EXPECT_FALSE(recent.contains(7));
    EXPECT_TRUE(recent.contains(8));
}

TEST(RecentHashes, KeepsTheNewestHashesWhenFull)
{
    RecentHashes recent;
    for (std::uint64_t hash = 1; hash <= 100000; ++hash)
        recent.add(hash, Start);
    EXPECT_TRUE(recent.contains(100000));
    EXPECT_TRUE(recent.contains(97000));
    EXPECT_FALSE(recent.contains(1));
}

} // namespace
} // namespace snipestall
