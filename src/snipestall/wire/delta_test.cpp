#include "snipestall/wire/delta.hpp"

#include "snipestall/base/random.hpp"

#include <gtest/gtest.h>

namespace snipestall::wire {
namespace {

constexpr std::size_t MaxSize = std::size_t { 16 } << 20;

std::string randomText(std::size_t length, std::uint64_t seed)
{
    Random random(seed);
    std::string text;
    for (std::size_t i = 0; i < length; ++i)
        text += static_cast<char>('a' + random.below(26));
    return text;
}

TEST(DeltaTest, ReturnsTheData)
{
    for (const std::size_t size :
         { std::size_t { 0 }, std::size_t { 1 }, std::size_t { 100000 } }) {
        const std::string data = randomText(size, 1);
        const auto back = decompress(compress(data), MaxSize);
        ASSERT_TRUE(back) << back.error().message;
        EXPECT_EQ(*back, data);
    }
}

TEST(DeltaTest, ASmallChangeOfLargeDataIsSmall)
{
    const std::string base = randomText(3000000, 1);
    std::string data = base;
    data.insert(1000, "new");
    data.erase(2000000, 700);
    data += "end";
    const std::string compressed = compress(data, base);
    EXPECT_LT(compressed.size(), 1000U);
    const auto back = decompress(compressed, MaxSize, base);
    ASSERT_TRUE(back) << back.error().message;
    EXPECT_EQ(*back, data);
}

// Guards against a configuration that is put together from two versions: the receiver has another
// base than the sender, of the same length.
TEST(DeltaTest, AnotherBaseIsAnError)
{
    const std::string base = randomText(20000, 1);
    const std::string compressed = compress(base + "new", base);
    std::string other = base;
    other[10000] = '-';
    EXPECT_FALSE(decompress(compressed, MaxSize, other));
    EXPECT_FALSE(decompress(compressed, MaxSize));
}

TEST(DeltaTest, DamagedAndOversizedDataAreErrors)
{
    const std::string compressed = compress(randomText(20000, 1));
    EXPECT_FALSE(decompress(compressed, 19999));
    EXPECT_FALSE(decompress(compressed.substr(0, compressed.size() / 2), MaxSize));
    EXPECT_FALSE(decompress("", MaxSize));
    std::string damaged = compressed;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 1);
    const auto back = decompress(damaged, MaxSize);
    EXPECT_TRUE(!back || *back != randomText(20000, 2));
}

} // namespace
} // namespace snipestall::wire
