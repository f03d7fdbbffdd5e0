#include "snipestall/serving/usage_windows.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

TEST(UsageWindows, CountsEachCustomerInTheWindowOfTheTime)
{
    UsageWindows usage(5s);
    const WallTime start { 1000s };
    usage.requestStarted("a", start);
    usage.requestStarted("a", start + 4999ms);
    usage.requestStarted("b", start + 4999ms);
    usage.requestStarted("a", start + 5s);
    EXPECT_EQ(usage.windowOf(start), 200);
    EXPECT_EQ(usage.endOf(200), start + 5s);
    EXPECT_EQ(usage.counts(200), (UsageCounts { { "a", 2 }, { "b", 1 } }));
    EXPECT_EQ(usage.counts(201), (UsageCounts { { "a", 1 } }));
    usage.dropBefore(201);
    EXPECT_TRUE(usage.counts(200).empty());
    EXPECT_FALSE(usage.counts(201).empty());
}

} // namespace
} // namespace snipestall::serving
