#include "snipestall/serving/catalogue.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route made;
    made.name = name;
    made.host = host;
    made.prefix = prefix;
    return made;
}

Catalogue catalogue()
{
    Customer customer;
    customer.name = "harbour";
    customer.keys = { "k1", "k2" };
    return Catalogue(7,
                     { route("root", "a.example", "/"), route("long", "a.example", "/x/y/"),
                       route("short", "a.example", "/x/"), route("other", "b.example", "/x/") },
                     {}, { customer }, {});
}

TEST(Catalogue, ChoosesTheLongestPrefixThatBeginsThePath)
{
    const Catalogue all = catalogue();
    EXPECT_EQ(all.route("a.example", "/x/y/z")->name, "long");
    EXPECT_EQ(all.route("a.example", "/x/y")->name, "short");
    EXPECT_EQ(all.route("a.example", "/x/yy/z")->name, "short");
    EXPECT_EQ(all.route("a.example", "/x")->name, "root");
    EXPECT_EQ(all.route("b.example", "/x/")->name, "other");
}

TEST(Catalogue, FindsNothingForOtherHostsAndPaths)
{
    const Catalogue all = catalogue();
    EXPECT_EQ(all.route("c.example", "/x/"), nullptr);
    EXPECT_EQ(all.route("b.example", "/y/"), nullptr);
    EXPECT_EQ(all.route("b.example", ""), nullptr);
    EXPECT_EQ(all.route("b.example", "*"), nullptr);
}

TEST(Catalogue, KnowsEachKeyOfACustomerAndNoOther)
{
    const Catalogue all = catalogue();
    EXPECT_EQ(all.customerOfKey("k2")->name, "harbour");
    EXPECT_EQ(all.customerOfKey("k3"), nullptr);
    EXPECT_EQ(all.customerOfKey(""), nullptr);
}

} // namespace
} // namespace snipestall::serving
