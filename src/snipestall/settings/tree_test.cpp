#include "snipestall/settings/document.hpp"
#include "snipestall/settings/tree.hpp"
#include "snipestall/settings/tree_edits.hpp"

#include "test_settings.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace snipestall::settings {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;

std::vector<Fault> faultsOf(const std::string &yaml)
{
    auto tree = Tree::parse(yaml);
    return tree ? std::vector<Fault> {} : tree.error();
}

const Fault *faultAt(const std::vector<Fault> &faults, std::string_view path)
{
    const auto it = std::find_if(faults.begin(), faults.end(),
                                 [&](const Fault &fault) { return fault.path == path; });
    return it == faults.end() ? nullptr : &*it;
}

TEST(TreeTest, BothExampleDeploymentsAreValid)
{
    for (const auto *name : { "karadeniz", "midlands" }) {
        const auto tree = Tree::parse(exampleYaml(name));
        ASSERT_TRUE(tree.has_value()) << tree.error().front().path;
        EXPECT_EQ(tree->dataCentres().size(), 4U);
    }
}

TEST(TreeTest, SameContentGivesSameBytesInAnyOrderAndUnit)
{
    const auto a =
        Tree::parse(std::string(MinimalYaml) + "fleet: {weight: 2, latency: {deadline: 2s}}");
    const auto b = Tree::parse("fleet: {latency: {deadline: 2000ms}, weight: 2.0}\n"
                               + std::string(MinimalYaml));
    ASSERT_TRUE(a && b);
    EXPECT_EQ(a->toCanonicalYaml(), b->toCanonicalYaml());
    EXPECT_EQ(a->hash(), b->hash());
    EXPECT_EQ(Tree::parse(a->toCanonicalYaml())->hash(), a->hash());
}

TEST(TreeTest, EveryLevelInheritsAndMayOverride)
{
    const auto tree = parseWithOperator(R"(
fleet: {weight: 2, latency: {first_token: 900ms, inter_token: 40ms}}
data_centres:
  north: {share: 0.5, latency: {first_token: 800ms}, cost_preference: 0.1}
  south: {share: 0.25}
services: {text: {models: [m]}}
customers:
  kiyi: {cost_preference: 0.9, services: {text: {latency: {inter_token: 30ms}}}}
)");
    const auto north = tree.effective("north", 7);
    const LeafSettings *leaf = north->leaf("kiyi", "text");
    ASSERT_NE(leaf, nullptr);
    EXPECT_EQ(north->version, 7U);
    EXPECT_EQ(leaf->interTokenTarget, 30ms);
    EXPECT_EQ(leaf->costPreference, 0.9);
    EXPECT_EQ(leaf->firstTokenTarget, 800ms);
    EXPECT_EQ(leaf->weight, 2);
    EXPECT_EQ(leaf->deadline, 60s);
    EXPECT_EQ(tree.effective("south", 7)->leaf("kiyi", "text")->firstTokenTarget, 900ms);
}

TEST(TreeTest, LimitsAreDividedAndNeverSumToMore)
{
    const auto tree = parseWithOperator(R"(
data_centres: {a: {share: 0.3}, b: {share: 0.3}, c: {share: 0.4}}
services: {text: {models: [m]}}
customers:
  one: {limits: {concurrency: 1, requests_per_second: 10}, services: {text: {}}}
  ten: {limits: {concurrency: 10}, shares: {a: 0.7, c: 0}, services: {text: {}}}
)");
    std::uint32_t one = 0;
    std::uint32_t ten = 0;
    double rate = 0;
    for (const std::string &name : tree.dataCentres()) {
        const auto view = tree.effective(name, 1);
        one += view->leaf("one", "text")->concurrency;
        ten += view->leaf("ten", "text")->concurrency;
        rate += view->leaf("one", "text")->requestsPerSecond;
    }
    EXPECT_EQ(one, 1U);
    EXPECT_EQ(ten, 10U);
    EXPECT_DOUBLE_EQ(rate, 10);
    EXPECT_EQ(tree.effective("c", 1)->leaf("ten", "text")->concurrency, 0U);
}

TEST(TreeTest, ServicesAndClassesAreOverriddenPerDataCentre)
{
    const auto tree = Tree::parse(exampleYaml("karadeniz"));
    const auto samsun = tree->effective("samsun-hall", 1);
    const auto trabzon = tree->effective("trabzon-hall", 1);
    EXPECT_EQ(samsun->service("language")->minServers, 5U);
    EXPECT_EQ(tree->effective("ordu-hall", 1)->service("language")->minServers, 4U);
    EXPECT_EQ(samsun->service("airtime-ledger")->kind, ServiceKind::Plain);
    EXPECT_FALSE(samsun->service("airtime-ledger")->idempotent);
    EXPECT_EQ(samsun->serviceOfModel("airtime-writer")->service, "language");
    EXPECT_EQ(samsun->classes.size(), 3U);
    const auto &small = trabzon->classes[1];
    EXPECT_EQ(small.name, "spot-small");
    EXPECT_EQ(small.pricePerHour, 0.25);
    EXPECT_EQ(small.reclaimsPerHour, 0.4);
}

TEST(TreeTest, ReportsEveryFaultWithItsPathAndAllowedValues)
{
    const auto faults = faultsOf(R"(
fleet: {weigth: 2, latency: {first_token: 1200}}
data_centres: {north: {share: 0.7}, south: {share: 0.7}, east: {}}
services: {text: {models: [m], min_servers: 9, max_servers: 3}, Plain: {}}
operators: {ayla: {key_hashes: [my-plain-key]}}
customers: {kiyi: {services: {txet: {}}, shares: {west: 0.1}, limits: {concurrency: -1}}}
)");
    EXPECT_EQ(faultAt(faults, "fleet/weigth")->allowed, "did you mean weight?");
    EXPECT_THAT(faultAt(faults, "fleet/latency/first_token")->allowed, HasSubstr("unit"));
    EXPECT_EQ(faultAt(faults, "data_centres")->found, "shares that sum to 1.4");
    EXPECT_EQ(faultAt(faults, "data_centres/east/share")->found, "nothing");
    EXPECT_EQ(faultAt(faults, "services/text/min_servers")->found, "9");
    EXPECT_NE(faultAt(faults, "services/Plain"), nullptr);
    EXPECT_EQ(faultAt(faults, "customers/kiyi/services/txet")->allowed, "did you mean text?");
    EXPECT_NE(faultAt(faults, "customers/kiyi/shares/west"), nullptr);
    EXPECT_EQ(faultAt(faults, "customers/kiyi/limits/concurrency")->found, "-1");
    EXPECT_NE(faultAt(faults, "operators"), nullptr);
}

// An operator enters a bearer key instead of its hash. The fault is printed, logged and kept in
// terminal histories, so it must not contain the key.
TEST(TreeTest, AFaultNeverShowsTheValueOfASecret)
{
    for (const auto *value : { "[my-plain-key]", "my-plain-key", "{my-plain-key: 1}" }) {
        const auto faults =
            faultsOf("operators: {ayla: {key_hashes: " + std::string(value) + "}}\n");
        for (const Fault &fault : faults)
            EXPECT_THAT(fault.found + fault.allowed, testing::Not(HasSubstr("my-plain-key")));
        EXPECT_NE(faultAt(faults, "operators/ayla/key_hashes"), nullptr);
    }
}

TEST(TreeTest, UnreadableTextIsOneFaultWithItsLine)
{
    const auto faults = faultsOf("fleet:\n  weight: [1\n");
    ASSERT_FALSE(faults.empty());
    EXPECT_THAT(faults.front().found, HasSubstr("line"));
    EXPECT_FALSE(faultsOf("").empty());
    EXPECT_FALSE(faultsOf("[1, 2]").empty());
    EXPECT_FALSE(faultsOf("fleet: {weight: 1}\nfleet: {weight: 2}\n").empty());
}

TEST(TreeTest, AKeyBelongsToOneHolder)
{
    const std::string hash(64, 'a');
    const auto faults = faultsOf("operators: {ayla: {key_hashes: [" + hash
                                 + "]}}\ncustomers: {kiyi: {key_hashes: [" + hash + "]}}\n");
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].path, "customers/kiyi/key_hashes");
}

TEST(TreeEditsTest, SetsAndRemovesValuesAndSections)
{
    const auto tree = parseWithOperator("fleet: {weight: 2}\n");
    const std::vector<Edit> edits {
        { "fleet/weight", std::nullopt },
        { "fleet/latency/deadline", "9s" },
        { "customers/kiyi", "{weight: 4}" },
    };
    const auto edited = withEdits(tree, edits);
    ASSERT_TRUE(edited.has_value());
    std::vector<std::string> paths;
    for (const Difference &difference : differences(tree, *edited))
        paths.push_back(difference.path);
    EXPECT_THAT(paths,
                ElementsAre("customers/kiyi", "customers/kiyi/weight", "fleet/latency/deadline",
                            "fleet/weight"));
}

TEST(TreeEditsTest, EveryFaultyEditIsReported)
{
    const auto tree = parseWithOperator("fleet: {weight: 2}\n");
    const std::vector<Edit> edits {
        { "fleet/weight/x", "1" },      { "fleet/latency", std::nullopt },
        { "fleet//weight", "1" },       { "fleet/cost_preference", "7" },
        { "customers/a/weight", "[1" },
    };
    const auto edited = withEdits(tree, edits);
    ASSERT_FALSE(edited.has_value());
    EXPECT_EQ(edited.error().size(), edits.size());
}

// An operator mistypes a customer's name in a path. If the edit created a new customer with that
// one value, the limit of the intended customer would stay unchanged while the command reports
// success.
TEST(TreeEditsTest, AMistypedNameCreatesNoCustomer)
{
    const auto tree = parseWithOperator("customers: {kiyi: {weight: 2}}\n");
    const std::vector<Edit> mistyped { { "customers/kiy/weight", "4" } };
    const auto refused = withEdits(tree, mistyped);
    ASSERT_FALSE(refused.has_value());
    EXPECT_THAT(refused.error().front().allowed, HasSubstr("did you mean kiyi?"));
    const std::vector<Edit> suggestion { { "customers/kiy", "{}" },
                                         { "customers/kiy/weight", "4" } };
    EXPECT_TRUE(withEdits(tree, suggestion).has_value());
}

// The canonical form is read by a faster reader, which keeps the last of two equal names. A text
// that only resembles the canonical form must still be refused with its fault.
TEST(TreeTest, ATextLikeTheCanonicalOneIsCheckedLikeAnyOther)
{
    const auto tree = parseWithOperator("fleet: {weight: 2}\n");
    std::string twice = tree.toCanonicalYaml();
    const std::string value = "\"weight\":\"2\"";
    twice.replace(twice.find(value), value.size(), "\"weight\":\"3\"," + value);
    EXPECT_EQ(faultAt(faultsOf(twice), "fleet/weight")->found, "written twice");
    std::string wrong = tree.toCanonicalYaml();
    wrong.replace(wrong.find(value), value.size(), "\"weight\":\"-2\"");
    EXPECT_EQ(faultAt(faultsOf(wrong), "fleet/weight")->found, "-2");
    EXPECT_EQ(Tree::parse(tree.toReadableYaml())->hash(), tree.hash());
}

TEST(TreeEditsTest, EditsBetweenTwoTreesTurnOneIntoTheOther)
{
    const auto a = Tree::parse(exampleYaml("karadeniz")).value();
    const auto b = Tree::parse(exampleYaml("midlands")).value();
    for (const auto &[from, to] : { std::pair(a, b), std::pair(b, a) }) {
        const auto made = withEdits(from, editsBetween(from, to));
        ASSERT_TRUE(made.has_value()) << made.error().front().path;
        EXPECT_EQ(made->hash(), to.hash());
    }
    EXPECT_TRUE(editsBetween(a, a).empty());
}

// One operator removes a customer while another changes a value of it. The second change must be a
// conflict, otherwise it would recreate the customer with only that one value.
TEST(TreeEditsTest, RemovingACustomerConflictsWithEditsOfItsValues)
{
    const auto before =
        parseWithOperator("customers: {kiyi: {limits: {concurrency: 3}}, other: {}}\n");
    const std::vector<Edit> removal { { "customers/kiyi", std::nullopt } };
    const auto theirs = differences(before, withEdits(before, removal).value());
    const std::vector<Edit> ours { { "customers/kiyi/weight", "2" } };
    const std::vector<Edit> elsewhere { { "customers/kiyi-2/weight", "2" } };
    EXPECT_TRUE(changesOverlap(theirs, ours));
    EXPECT_FALSE(changesOverlap(theirs, elsewhere));
}

} // namespace
} // namespace snipestall::settings
