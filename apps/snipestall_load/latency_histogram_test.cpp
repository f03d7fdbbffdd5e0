#include "latency_histogram.hpp"

#include <gtest/gtest.h>

namespace snipestall::load {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST(LatencyHistogramTest, PercentilesAreWithinOnePercent)
{
    LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i)
        histogram.add(milliseconds(i));
    EXPECT_NEAR(static_cast<double>(histogram.percentile(0.5).count()), 500e3, 5e3);
    EXPECT_NEAR(static_cast<double>(histogram.percentile(0.99).count()), 990e3, 10e3);
    EXPECT_NEAR(static_cast<double>(histogram.percentile(1).count()), 1000e3, 10e3);
}

TEST(LatencyHistogramTest, EmptyHistogramAndZeroDurationAreAccepted)
{
    LatencyHistogram histogram;
    EXPECT_EQ(histogram.percentile(0.5), microseconds(0));
    histogram.add(std::chrono::nanoseconds(0));
    EXPECT_EQ(histogram.percentile(0.5), microseconds(1));
    LatencyHistogram both;
    both.add(histogram);
    EXPECT_EQ(both.count(), 1);
}

} // namespace
} // namespace snipestall::load
