#include "snipestall/serving/overlay.hpp"

#include <gtest/gtest.h>

#include <set>

namespace snipestall::serving {
namespace {

std::map<std::string, OverlayPeer> instances(int dataCentres, int each)
{
    std::map<std::string, OverlayPeer> all;
    for (int d = 0; d < dataCentres; ++d) {
        for (int i = 0; i < each; ++i) {
            const std::string name = "dc" + std::to_string(d) + "-" + std::to_string(100 + i);
            all[name].dataCentre = "dc" + std::to_string(d);
        }
    }
    return all;
}

std::map<std::string, Overlay> overlays(const std::map<std::string, OverlayPeer> &all)
{
    std::map<std::string, Overlay> made;
    for (const auto &[name, place] : all) {
        std::map<std::string, OverlayPeer> peers = all;
        peers.erase(name);
        made.emplace(name, Overlay(name, place)).first->second.update(peers);
    }
    return made;
}

TEST(Overlay, AFewInstancesAllCallEachOther)
{
    for (const auto &[name, overlay] : overlays(instances(3, 3))) {
        EXPECT_TRUE(overlay.isHub()) << name;
        EXPECT_EQ(overlay.targets().size(), 8U) << name;
    }
}

// Guards against control traffic that takes a growing part of the processor time of an instance as
// the deployment grows, because every pair of instances exchanges reports.
TEST(Overlay, CallsOfAnInstanceDoNotGrowWithTheNumberOfInstances)
{
    for (const int each : { 8, 32, 100 }) {
        const auto all = overlays(instances(10, each));
        std::map<std::string, int> called;
        for (const auto &[name, overlay] : all) {
            EXPECT_LE(overlay.targets().size(), Overlay::MaxHubs) << name;
            for (const std::string &target : overlay.targets())
                ++called[target];
        }
    }
}

TEST(Overlay, MembersOfADataCentreShareItsHubs)
{
    const auto all = overlays(instances(4, 19));
    std::map<std::string, int> members;
    for (const auto &[name, overlay] : all) {
        if (overlay.isHub())
            continue;
        ASSERT_EQ(overlay.targets().size(), 1U);
        EXPECT_EQ(overlay.targets().front().substr(0, 3), name.substr(0, 3));
        EXPECT_TRUE(all.at(overlay.targets().front()).isHub());
        ++members[overlay.targets().front()];
    }
    EXPECT_EQ(members.size(), 12U);
    for (const auto &[hub, count] : members)
        EXPECT_LE(count, 12) << hub;
}

TEST(Overlay, OneInstanceOfEachDataCentreReadsTheStore)
{
    auto all = instances(4, 19);
    int readers = 0;
    for (const auto &[name, overlay] : overlays(all))
        readers += overlay.isReader() ? 1 : 0;
    EXPECT_EQ(readers, 4);
    all.erase("dc0-100");
    EXPECT_TRUE(overlays(all).at("dc0-101").isReader());
}

// Guards against hubs that fall behind while instances with more processor time are members.
TEST(Overlay, TheInstancesWithTheMostProcessorTimeAreHubs)
{
    auto all = instances(6, 49);
    for (int d = 0; d < 6; ++d) {
        for (const char *large : { "-120", "-130", "-148" })
            all.at("dc" + std::to_string(d) + large).milliCores = 500;
    }
    for (const auto &[name, overlay] : overlays(all)) {
        EXPECT_EQ(overlay.isReader(), name.ends_with("-120")) << name;
        EXPECT_EQ(overlay.isHub(), name.ends_with("-120") || name.ends_with("-130")) << name;
    }
    all.erase("dc0-120");
    EXPECT_TRUE(overlays(all).at("dc0-148").isHub());
}

TEST(Overlay, AnotherInstanceBecomesHubWhenOneIsGone)
{
    auto all = instances(4, 19);
    all.erase("dc0-100");
    const auto after = overlays(all);
    EXPECT_TRUE(after.at("dc0-103").isHub());
}

} // namespace
} // namespace snipestall::serving
