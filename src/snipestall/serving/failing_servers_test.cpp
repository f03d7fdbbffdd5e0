#include "snipestall/serving/failing_servers.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

std::vector<ServerFailures> fleet(int healthy, int bad, double rate, double usualRate = 0)
{
    std::vector<ServerFailures> servers;
    servers.reserve(static_cast<std::size_t>(healthy + bad));
    for (int i = 0; i < healthy; ++i)
        servers.push_back({ "healthy-" + std::to_string(i), usualRate });
    for (int i = 0; i < bad; ++i)
        servers.push_back({ "bad-" + std::to_string(i), rate });
    return servers;
}

// Guards against a server that fails at once, looks idle, and attracts the requests of all
// instances.
TEST(FailingServers, TheOneThatFailsIsAvoided)
{
    const auto failing = failingServers(fleet(59, 1, 0.9));
    EXPECT_EQ(failing, std::unordered_set<std::string> { "bad-0" });
}

// Guards against the loss of capacity when the fault lies in the requests or behind all servers.
TEST(FailingServers, NoneIsAvoidedWhereAllFailAlike)
{
    EXPECT_TRUE(failingServers(fleet(0, 60, 0.45)).empty());
    EXPECT_TRUE(failingServers(fleet(40, 20, 0.3, 0.14)).empty());
}

// Guards against the rest of a service that is overloaded by what the avoided servers would carry.
TEST(FailingServers, AtMostAThirdIsAvoided)
{
    EXPECT_EQ(failingServers(fleet(7, 5, 0.9)).size(), 4U);
    EXPECT_TRUE(failingServers(fleet(1, 1, 0.9)).empty());
}

} // namespace
} // namespace snipestall::serving
