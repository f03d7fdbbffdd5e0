#include "snipestall/gateway/gateway_settings.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;

constexpr auto Whole = R"(
instance: edge-1
data_centre: east
first_start: true
address: 10.0.0.1
callers: 10.0.0.1:8080
readiness: 10.0.0.1:8081
peer_port: 7600
metrics_port: 9464
store: 10.0.0.9:7000
duties: 10.0.0.9:7001
limits: {file_descriptors: 4100}
bounds: {grace_s: 8, drain_ms: 2500, quota_overrun: 0.1, retry_slack: 58}
)";

TEST(GatewaySettings, ReadsEveryField)
{
    const auto settings = GatewaySettings::parse(Whole);
    ASSERT_TRUE(settings) << settings.error().message;
    EXPECT_EQ(settings->instance, "edge-1");
    EXPECT_TRUE(settings->firstStart);
    EXPECT_EQ(settings->startWait, std::chrono::milliseconds(150));
    EXPECT_EQ(settings->callers.port, 8080);
    EXPECT_EQ(settings->fileDescriptors, 4100U);
    EXPECT_EQ(settings->bounds.grace, 8s);
    EXPECT_EQ(settings->bounds.drain, 2500ms);
    EXPECT_EQ(settings->bounds.retrySlack, 58);
    EXPECT_EQ(settings->bounds.lease, 3s);
}

// Guards against a process that aborts without an error message because its settings lack a whole
// section.
TEST(GatewaySettings, NamesEveryFaultAtOnce)
{
    const auto settings = GatewaySettings::parse("instance: a\ncallers: nowhere\n");
    ASSERT_FALSE(settings);
    for (const char *name : { "data_centre", "callers", "store", "peer_port" })
        EXPECT_NE(settings.error().message.find(name), std::string::npos) << name;
}

TEST(GatewaySettings, RejectsSettingsThatAreNotAMap)
{
    EXPECT_FALSE(GatewaySettings::parse(""));
    EXPECT_FALSE(GatewaySettings::parse("- a"));
    EXPECT_FALSE(GatewaySettings::parse("a: [1"));
}

TEST(GatewaySettings, NamesAFieldOfTheWrongType)
{
    std::string text(Whole);
    text += "server_heartbeat_ms: often\n";
    const auto settings = GatewaySettings::parse(text);
    ASSERT_FALSE(settings);
    EXPECT_NE(settings.error().message.find("server_heartbeat_ms"), std::string::npos);
}

} // namespace
} // namespace snipestall::gateway
