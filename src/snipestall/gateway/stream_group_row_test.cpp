#include "stream_group_row.hpp"

#include "snipestall/base/random.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;

serving::StreamGroup someGroup(std::size_t streams)
{
    serving::StreamGroup group;
    group.writtenAt = 1000s;
    for (std::size_t i = 0; i < streams; ++i)
        group.streams.push_back({ ~std::uint64_t(0) - i,
                                  { "lm", i % 2 == 0 ? "v1" : "v2" },
                                  1000s + std::chrono::seconds(1 + i % 30) });
    return group;
}

TEST(StreamGroupRowTest, DecodesWhatItEncodes)
{
    const auto group = someGroup(40);
    const auto decoded = decodeStreamGroup(encodeStreamGroup(group));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->writtenAt, group.writtenAt);
    EXPECT_EQ(decoded->streams, group.streams);
}

// Guards against rows that the store refuses.
TEST(StreamGroupRowTest, TheLargestRowFitsIntoTheStore)
{
    auto group = someGroup(serving::StreamGroups::MaxStreams);
    const std::string name(serving::StreamGroups::MaxNameBytes / 40, 'n');
    for (std::size_t i = 0; i < group.streams.size(); ++i)
        group.streams[i].origin = { "lm", name + std::to_string(i % 39) };
    constexpr std::size_t RowBytes = 65536;
    EXPECT_LT(encodeStreamGroup(group).size() * 4 / 3, RowBytes);
}

// Guards against a process that ends because of a damaged row, or keeps its records for too long.
TEST(StreamGroupRowTest, SurvivesFaultyRows)
{
    const std::string good = encodeStreamGroup(someGroup(10));
    Random random(7);
    for (int i = 0; i < 2000; ++i) {
        std::string text = good;
        for (int j = 0; j < 4; ++j)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        if (random.below(4) == 0)
            text.resize(random.below(text.size()));
        const auto decoded = decodeStreamGroup(text);
        if (!decoded)
            continue;
        EXPECT_LE(decoded->streams.size(), good.size());
        for (const serving::StoredStream &each : decoded->streams)
            EXPECT_LE(each.expiresAt - decoded->writtenAt, serving::StreamGroups::MaxKept + 1s);
    }
}

} // namespace
} // namespace snipestall::gateway
