#include "snipestall/gateway/gateway_metrics.hpp"

#include "snipestall/gateway/gateway_state.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;

TEST(GatewayMetrics, ShowsTotalsGaugesAndHistograms)
{
    boost::asio::io_context io;
    GatewayState state(io, {}, 7);
    state.counters.requests = 12;
    state.metrics.recordFirstByte("lm", 150ms);
    state.metrics.recordRequestEnd(503, 2ms);
    const std::string first = state.metrics.render(state);
    EXPECT_NE(first.find("snipestall_gateway_requests 12"), std::string::npos) << first;
    EXPECT_NE(first.find("first_byte_seconds_bucket{service=\"lm\",le=\"0.2\"} 1"),
              std::string::npos);
    EXPECT_NE(first.find("request_seconds_count{status=\"503\"} 1"), std::string::npos);
    state.counters.requests = 13;
    EXPECT_NE(state.metrics.render(state).find("snipestall_gateway_requests 13"),
              std::string::npos);
}

} // namespace
} // namespace snipestall::gateway
