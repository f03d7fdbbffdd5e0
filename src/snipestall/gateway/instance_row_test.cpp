#include "snipestall/gateway/instance_row.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {

TEST(InstanceRow, IsReadAsItWasWritten)
{
    const auto row = decodeInstance(encodeInstance({ "east", "10.0.0.1:7600", 120 }));
    ASSERT_TRUE(row);
    EXPECT_EQ(row->dataCentre, "east");
    EXPECT_EQ(row->address, "10.0.0.1:7600");
    EXPECT_EQ(row->milliCores, 120U);
}

// Guards against instances of an earlier version that are left out while versions are mixed.
TEST(InstanceRow, ARowWithoutProcessorTimeIsRead)
{
    const auto row = decodeInstance("east 10.0.0.1:7600");
    ASSERT_TRUE(row);
    EXPECT_EQ(row->address, "10.0.0.1:7600");
    EXPECT_EQ(row->milliCores, 0U);
    EXPECT_FALSE(decodeInstance("east"));
    EXPECT_FALSE(decodeInstance(""));
}

} // namespace snipestall::gateway
