#include "snipestall/gateway/instance_row.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {

TEST(InstanceRow, IsDecodedAsItWasEncoded)
{
    const auto row = decodeInstance(encodeInstance({ "east", "10.0.0.1:7600", 120, 7615 }));
    ASSERT_TRUE(row);
    EXPECT_EQ(row->dataCentre, "east");
    EXPECT_EQ(row->address, "10.0.0.1:7600");
    EXPECT_EQ(row->milliCores, 120U);
    EXPECT_EQ(row->forwardPort, 7615U);
}

// Guards against the loss of instances of an earlier version, which write no processor time, while
// versions are mixed.
TEST(InstanceRow, DecodesARowWithoutProcessorTime)
{
    const auto row = decodeInstance("east 10.0.0.1:7600");
    ASSERT_TRUE(row);
    EXPECT_EQ(row->address, "10.0.0.1:7600");
    EXPECT_EQ(row->milliCores, 0U);
    EXPECT_EQ(row->forwardPort, 0U);
    EXPECT_FALSE(decodeInstance("east"));
    EXPECT_FALSE(decodeInstance(""));
}

} // namespace snipestall::gateway
