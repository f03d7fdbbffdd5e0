#include "engine/prefix_cache.hpp"

#include <gtest/gtest.h>

namespace snipestall::standins {
namespace {

constexpr SteadyTime Start {};

PrefixCache cacheOf(std::size_t blocks, double gap = 0)
{
    return PrefixCache({ blocks, std::chrono::milliseconds(200), gap, 1 });
}

TEST(PrefixCacheTest, FindsLongestSharedPrefixInWholeBlocks)
{
    PrefixCache cache = cacheOf(100);
    const std::string shared(130, 'a');
    cache.insert(Start, shared + "tail");
    EXPECT_EQ(cache.cachedTokens(shared + "other"), 32);
    EXPECT_EQ(cache.cachedTokens("b" + shared), 0);
}

TEST(PrefixCacheTest, EvictsLeastRecentlyUsedBlockAndPublishesLate)
{
    PrefixCache cache = cacheOf(2);
    const std::string first(64, 'a');
    const std::string second(64, 'b');
    const std::string third(64, 'c');
    cache.insert(Start, first);
    cache.insert(Start, second);
    cache.insert(Start, first);
    cache.insert(Start, third);
    EXPECT_EQ(cache.cachedTokens(first), 16);
    EXPECT_EQ(cache.cachedTokens(second), 0);
    EXPECT_TRUE(cache.eventsAfter(Start, 0).empty());
    const auto events = cache.eventsAfter(Start + std::chrono::milliseconds(200), 0);
    ASSERT_EQ(events.size(), 4);
    EXPECT_FALSE(events[2].present);
}

TEST(PrefixCacheTest, GapSuppressesEvent)
{
    PrefixCache cache = cacheOf(2, 1.0);
    cache.insert(Start, std::string(64, 'a'));
    EXPECT_TRUE(cache.eventsAfter(Start + std::chrono::seconds(1), 0).empty());
}

} // namespace
} // namespace snipestall::standins
