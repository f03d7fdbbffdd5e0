#include "snipestall/serving/cache_holders.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const WallTime Now { 1000s };

std::vector<ServerStatePtr> servers(const std::string &prefix, int count, std::chrono::seconds age)
{
    std::vector<ServerStatePtr> made;
    for (int i = 0; i < count; ++i) {
        auto server = std::make_shared<ServerState>();
        server->info.id = prefix + std::to_string(i);
        server->info.startedAt = Now - age;
        made.push_back(std::move(server));
    }
    return made;
}

std::vector<ServerStatePtr> joined(std::vector<ServerStatePtr> first,
                                   const std::vector<ServerStatePtr> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

// Guards against parts that are read again after servers have started, although the servers that
// had them still run.
TEST(CacheHolders, AnOldServerHoldsWhatMovesToANewOne)
{
    const auto old = servers("old-", 8, 100s);
    const auto all = joined(old, servers("new-", 8, 2s));
    int moved = 0;
    for (std::uint64_t part = 1; part <= 100; ++part) {
        const CacheHolders before(part, old, old, Now);
        const CacheHolders after(part, all, all, Now);
        EXPECT_EQ(after.holder(), before.holder());
        moved += after.preferred() != after.holder() ? 1 : 0;
    }
    EXPECT_NEAR(moved, 50, 20);
}

// Guards against the loss of all caches of a data centre at the notice of its reclaim: its servers
// get no prompts, but can be copied from until they stop.
TEST(CacheHolders, AServerThatStopsSoonIsStillCopiedFrom)
{
    const auto leaving = servers("leaving-", 8, 100s);
    const auto rest = servers("rest-", 8, 100s);
    const auto all = joined(leaving, rest);
    for (std::uint64_t part = 1; part <= 50; ++part) {
        const CacheHolders before(part, all, all, Now);
        const CacheHolders after(part, rest, all, Now);
        EXPECT_EQ(after.holder(), before.holder());
        EXPECT_EQ(after.preferred()->info.id.substr(0, 4), "rest");
    }
}

// Guards against a change where ages can't be told, or all servers are new: then the server that
// gets the prompts has the parts.
TEST(CacheHolders, WithoutOldServersThePreferredOneHolds)
{
    const auto fresh = servers("new-", 8, 2s);
    const CacheHolders young(7, fresh, fresh, Now);
    EXPECT_EQ(young.holder(), young.preferred());
    const CacheHolders unknown(7, fresh, fresh, std::nullopt);
    EXPECT_EQ(unknown.holder(), unknown.preferred());
    EXPECT_EQ(CacheHolders(7, {}, fresh, Now).holder(), nullptr);
}

} // namespace
} // namespace snipestall::serving
