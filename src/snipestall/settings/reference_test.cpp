#include "snipestall/settings/reference.hpp"

#include "snipestall/settings/explain_effective.hpp"
#include "snipestall/settings/schema.hpp"

#include "test_settings.hpp"
#include "value_reader.hpp"

#include <gmock/gmock.h>

#include <algorithm>

namespace snipestall::settings {
namespace {

using testing::HasSubstr;

TEST(SchemaTest, EveryDefaultIsAllowedAndCanonical)
{
    for (const SettingInfo &setting : schema()) {
        EXPECT_FALSE(setting.description.empty());
        if (setting.defaultText.empty())
            continue;
        const auto value = defaultOf(setting);
        ASSERT_TRUE(value.has_value()) << setting.key;
        EXPECT_EQ(toText(*value), setting.defaultText);
    }
}

TEST(ReferenceTest, TheCommittedPageIsTheGeneratedOne)
{
    EXPECT_EQ(readFile("docs/settings.md"), referencePage())
        << "run: build/bin/snipestallctl reference settings > docs/settings.md";
}

TEST(ReferenceTest, ExplainsPathsPatternsKeysAndSections)
{
    for (const auto *path : { "customers/kiyi/weight", "customers/*/weight", "weight" })
        EXPECT_THAT(explainPath(path).value(), HasSubstr("data_centres/*/weight")) << path;
    EXPECT_THAT(explainPath("customers/kiyi").value(), HasSubstr("key_hashes"));
    EXPECT_THAT(explainPath("customers/kiyi/shares/north").value(), HasSubstr("a number from 0"));
    EXPECT_THAT(explainPath("fleet/wieght").error().message, HasSubstr("mean fleet/weight?"));
}

const ResolvedValue &valueAt(const std::vector<ResolvedValue> &values, std::string_view key)
{
    const auto it = std::find_if(values.begin(), values.end(),
                                 [&](const ResolvedValue &value) { return value.key == key; });
    if (it == values.end())
        throw std::out_of_range(std::string(key));
    return *it;
}

TEST(ExplainEffectiveTest, NamesTheLevelOfEveryValue)
{
    const auto tree = Tree::parse(exampleYaml("karadeniz")).value();
    const auto values = explainEffective(tree, { "samsun-hall", "coastal-ferries", "language" });
    const std::string leaf = "customers/coastal-ferries/services/language/";
    EXPECT_EQ(valueAt(values, leaf + "weight").from, "customers/coastal-ferries");
    EXPECT_EQ(valueAt(values, leaf + "latency/first_token").from, "fleet");
    EXPECT_EQ(valueAt(values, leaf + "latency/deadline").from, "fleet");
    EXPECT_EQ(toText(valueAt(values, leaf + "local/limits/concurrency").value), "38");
    EXPECT_EQ(toText(valueAt(values, leaf + "limits/concurrency").value), "128");
}

TEST(ExplainEffectiveTest, AgreesWithTheViewThatIsInForce)
{
    const auto tree = Tree::parse(exampleYaml("midlands")).value();
    const auto view = tree.effective("derby-hall", 1);
    const auto values = explainEffective(tree, { "derby-hall", "", "" });
    for (const LeafSettings &leaf : view->leaves) {
        const std::string path = "customers/" + leaf.customer + "/services/" + leaf.service + "/";
        EXPECT_EQ(toText(valueAt(values, path + "weight").value), toText(leaf.weight));
        EXPECT_EQ(toText(valueAt(values, path + "local/limits/concurrency").value),
                  toText(leaf.concurrency));
        EXPECT_EQ(toText(valueAt(values, path + "local/limits/tokens_per_second").value),
                  toText(leaf.tokensPerSecond));
    }
    EXPECT_EQ(valueAt(values, "classes/steady/price_per_hour").from, "classes/steady");
    EXPECT_EQ(valueAt(values, "services/style/start_time").from, "default");
    EXPECT_TRUE(explainEffective(tree, { "nowhere", "", "" }).empty());
}

} // namespace
} // namespace snipestall::settings
