#include "snipestall/peer/settings_keeper.hpp"

#include "snipestall/settings/tree.hpp"

#include <gtest/gtest.h>

namespace snipestall::peer {
namespace {

SettingsDocument document(std::uint64_t version, int requestsPerSecond)
{
    const std::string yaml =
        "fleet:\n  limits: {requests_per_second: " + std::to_string(requestsPerSecond)
        + "}\ndata_centres:\n  samsun-hall: {share: 1.0}\noperators:\n  ayla: {key_hashes: ["
        + std::string(64, 'a') + "]}\n";
    const auto tree = settings::Tree::parse(yaml);
    return { version, tree ? tree->hash() : "faulty", tree ? tree->toCanonicalYaml() : yaml };
}

// An operator lowers a limit, and then a peer that was cut off offers its older document. If it
// were applied, the limit would be raised again without any operator's change.
TEST(SettingsKeeperTest, ALateOlderDocumentIsIgnored)
{
    SettingsKeeper keeper("samsun-hall");
    int applied = 0;
    keeper.subscribe([&](const auto &) { ++applied; });
    EXPECT_TRUE(keeper.offer(document(7, 10)));
    EXPECT_FALSE(keeper.offer(document(6, 90)));
    EXPECT_FALSE(keeper.offer(document(7, 90)));
    EXPECT_EQ(keeper.version(), 7U);
    EXPECT_EQ(applied, 1);
    EXPECT_TRUE(keeper.offer(document(8, 20)));
    EXPECT_EQ(keeper.effective()->version, 8U);
}

// A document was damaged in transit. If it were applied, this instance would have other settings
// than the others under the same version, and nothing would ever correct that.
TEST(SettingsKeeperTest, ADocumentThatDoesNotMatchItsHashIsRefused)
{
    SettingsKeeper keeper("samsun-hall");
    SettingsDocument damaged = document(3, 10);
    damaged.yaml = document(3, 11).yaml;
    EXPECT_FALSE(keeper.offer(damaged));
    EXPECT_EQ(keeper.version(), 0U);
    EXPECT_TRUE(keeper.offer(document(3, 10)));
}

} // namespace
} // namespace snipestall::peer
