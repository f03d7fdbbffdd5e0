#include "snipestall/settings/explain_effective.hpp"
#include "snipestall/settings/tree.hpp"
#include "snipestall/settings/tree_edits.hpp"

#include "snipestall/base/random.hpp"

#include "test_settings.hpp"

#include <gtest/gtest.h>

#include <array>

namespace snipestall::settings {
namespace {

constexpr int Seeds = 150;
constexpr int EditsPerSeed = 12;

Edit randomEdit(Random &random)
{
    static const std::array<Edit, 14> choices { {
        { "fleet/weight", "2" },
        { "fleet/weight", std::nullopt },
        { "fleet/latency", "{first_token: 3s, deadline: 2s}" },
        { "customers/kiyi", "{weight: 4}" },
        { "customers/kiyi", std::nullopt },
        { "customers/kiyi/services/language", "{}" },
        { "customers/kiyi/services/ledger", "{limits: {concurrency: 1}}" },
        { "customers/harbour-office", std::nullopt },
        { "data_centres/ordu-hall/share", "0.25" },
        { "data_centres/ordu-hall/share", "0.1" },
        { "data_centres/sinop-hall/services/language", "{max_servers: 2}" },
        { "services/language/models", "[airtime-writer, b]" },
        { "operators/ayla", std::nullopt },
        { "classes/steady/price_per_hour", "9" },
    } };
    return choices.at(random.below(choices.size()));
}

// Applies random edits in random order. Each accepted version must read back as the same content in
// both forms of text, otherwise every instance that receives it would refuse it. The edits between
// two versions must turn one into the other.
TEST(TreeRandomTest, EveryAcceptedVersionReadsBackAsItself)
{
    int accepted = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        Random random(static_cast<std::uint64_t>(seed));
        const Tree first = Tree::parse(exampleYaml("karadeniz")).value();
        Tree tree = first;
        for (int i = 0; i < EditsPerSeed; ++i) {
            const std::array edits { randomEdit(random), randomEdit(random) };
            auto next = withEdits(tree, edits);
            if (!next)
                continue;
            ++accepted;
            tree = std::move(*next);
            ASSERT_EQ(Tree::parse(tree.toCanonicalYaml()).value().hash(), tree.hash()) << seed;
            ASSERT_EQ(Tree::parse(tree.toReadableYaml()).value().hash(), tree.hash()) << seed;
            ASSERT_EQ(withEdits(first, editsBetween(first, tree)).value().hash(), tree.hash());
            ASSERT_NE(tree.effective("samsun-hall", 1), nullptr);
        }
    }
    EXPECT_GT(accepted, Seeds);
}

// A file is truncated, or one byte of it is damaged. Parsing such a text must give faults or a tree
// and must never crash the instance that reads it.
TEST(TreeRandomTest, DamagedTextsGiveFaultsOrATreeAndNothingElse)
{
    const std::string whole = exampleYaml("midlands");
    const std::string stored = Tree::parse(whole).value().toCanonicalYaml();
    int faulty = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        Random random(static_cast<std::uint64_t>(seed));
        for (std::string text : { whole, stored }) {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
            if (seed % 3 == 0)
                text.resize(random.below(text.size()));
            const auto tree = Tree::parse(text);
            faulty += tree ? 0 : 1;
            EXPECT_TRUE(tree || !tree.error().empty());
        }
    }
    EXPECT_GT(faulty, Seeds);
}

} // namespace
} // namespace snipestall::settings
