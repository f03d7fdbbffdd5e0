#include "snipestall/base/rendezvous.hpp"

#include <gtest/gtest.h>

namespace snipestall {
namespace {

const std::vector<std::string> Nodes { "samsun-1", "samsun-2", "samsun-3", "samsun-4" };

// Guards against fingerprints that instances of before and after a change don't share.
TEST(StableHash, OfTwoPartsIsThatOfTheWhole)
{
    EXPECT_EQ(stableHash("request\n", "body"), stableHash("request\nbody"));
    EXPECT_EQ(stableHash("request", ""), stableHash("request"));
}

TEST(RendezvousTest, RemovingANodeMovesOnlyItsKeys)
{
    std::vector<std::string> fewer = Nodes;
    fewer.pop_back();
    for (int i = 0; i < 500; ++i) {
        const std::string key = "server-" + std::to_string(i);
        const auto before = rendezvousPick(key, Nodes);
        const auto after = rendezvousPick(key, fewer);
        const bool moved = before != after;
        EXPECT_TRUE(!moved || before == Nodes.back()) << key;
    }
}

TEST(RendezvousTest, SpreadsKeysOverAllNodes)
{
    std::vector<int> counts(Nodes.size());
    for (int i = 0; i < 4000; ++i) {
        const auto pick = rendezvousPick(std::to_string(i), Nodes);
        for (std::size_t n = 0; n < Nodes.size(); ++n)
            counts[n] += pick == Nodes[n] ? 1 : 0;
    }
    for (const int count : counts)
        EXPECT_NEAR(count, 1000, 150);
}

TEST(RendezvousTest, OrderStartsWithThePick)
{
    const auto order = rendezvousOrder("key", Nodes);
    ASSERT_EQ(order.size(), Nodes.size());
    EXPECT_EQ(order.front(), rendezvousPick("key", Nodes));
    EXPECT_FALSE(rendezvousPick("key", {}).has_value());
}

} // namespace
} // namespace snipestall
