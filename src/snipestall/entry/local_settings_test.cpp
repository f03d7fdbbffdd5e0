#include "snipestall/entry/local_settings.hpp"

#include <gtest/gtest.h>

namespace snipestall::entry {
namespace {

constexpr const char *Good = R"(
instance: samsun-1
data_centre: samsun-hall
callers: {listen: "127.0.0.1:8080"}
operators: {listen: "127.0.0.1:8081"}
peers:
  listen: 127.0.0.1:8082
  seeds:
    - {instance: samsun-2, data_centre: samsun-hall, address: "127.0.0.1:9082"}
platform: {address: "127.0.0.1:7000"}
log: {format: json, level: warning}
)";

TEST(LocalSettingsTest, ReadsAWholeFile)
{
    const auto local = LocalSettings::parse(Good);
    ASSERT_TRUE(local.has_value());
    EXPECT_EQ(local->instance, "samsun-1");
    EXPECT_EQ(local->peersAdvertise.port, 8082);
    EXPECT_EQ(local->seeds.at(0).instance, "samsun-2");
    EXPECT_EQ(local->logFormat, LogFormat::Json);
}

TEST(LocalSettingsTest, NamesEveryFaultAtOnce)
{
    const auto local = LocalSettings::parse(R"(
instance: "bad name"
callers: {listen: "localhost:80"}
operators: {listen: "127.0.0.1:81", bootstrap_key_sha256: abc}
peers: {listen: "127.0.0.1:82", sedes: []}
log: {level: loud}
)");
    ASSERT_FALSE(local.has_value());
    std::vector<std::string> paths;
    for (const auto &fault : local.error())
        paths.push_back(fault.path);
    for (const char *path :
         { "instance", "data_centre", "callers/listen", "operators/bootstrap_key_sha256",
           "peers/sedes", "platform", "platform/address", "log/level" })
        EXPECT_NE(std::find(paths.begin(), paths.end(), path), paths.end()) << path;
}

} // namespace
} // namespace snipestall::entry
