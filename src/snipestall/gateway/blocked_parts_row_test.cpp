#include "blocked_parts_row.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {
namespace {

TEST(BlockedPartsRow, IsDecodedAsItWasEncoded)
{
    const std::vector<serving::StoredPart> parts {
        { { "pool", "m", 0xfedcba9876543210U }, "" },
        { { "pool", "", 1 }, "edge-1/17" },
    };
    EXPECT_EQ(decodeBlockedParts(encodeBlockedParts(parts)), parts);
}

// Guards against a row that blocks nothing any more because one entry of it can't be read.
TEST(BlockedPartsRow, SkipsEntriesThatCannotBeRead)
{
    const auto parts = decodeBlockedParts(
        R"({"parts":[1,{"service":"a","model":"m","id":"xyz"},{"service":"a","id":"1"},)"
        R"({"service":"a","model":"m","id":"1f"},{"service":"a","model":"m","id":"1f2g"}]})");
    ASSERT_EQ(parts.size(), 1U);
    EXPECT_EQ(parts[0].name.id, 0x1fU);
    EXPECT_TRUE(decodeBlockedParts("not json").empty());
    EXPECT_TRUE(decodeBlockedParts(R"({"parts":3})").empty());
}

} // namespace
} // namespace snipestall::gateway
