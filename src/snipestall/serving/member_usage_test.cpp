#include "snipestall/serving/member_usage.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

// Guards against usage that is reported too low: a hub stores what a member reported while the
// window was still running, and the member, which has counted more since, takes its counts as
// stored.
TEST(MemberUsage, OnlyFinalCountsAreConfirmedAsStored)
{
    MemberUsage usage;
    usage.memberClosed("done/1", 7);
    usage.memberClosed("late/1", 6);
    EXPECT_EQ(usage.membersFinalFor(7), std::vector<std::string> { "done/1" });
    usage.markStored(usage.membersFinalFor(7), 7);
    EXPECT_EQ(usage.storedUpTo("done/1"), 7);
    EXPECT_EQ(usage.storedUpTo("late/1"), 0);
    EXPECT_EQ(usage.storedUpTo("unknown/1"), 0);
}

// Guards against usage that is reported too low: the hub of an instance is killed before it has
// stored the counts of the window that has just ended.
TEST(MemberUsage, AMemberStoresItsCountsIfItsHubDoesNotInTime)
{
    MemberUsage usage;
    EXPECT_FALSE(usage.isLeftToHub(0ms, Start));
    usage.hubStored(6, Start);
    EXPECT_TRUE(usage.storedByHub(6));
    EXPECT_FALSE(usage.storedByHub(7));
    EXPECT_TRUE(usage.isLeftToHub(500ms, Start + 500ms));
    EXPECT_FALSE(usage.isLeftToHub(1100ms, Start + 1100ms));
    usage.hubStored(6, Start + 1400ms);
    EXPECT_FALSE(usage.isLeftToHub(1500ms, Start + 1500ms));
}

TEST(MemberUsage, AHubThatHasStoredLessChangesNothing)
{
    MemberUsage usage;
    usage.hubStored(6, Start);
    usage.hubStored(0, Start + 1s);
    EXPECT_TRUE(usage.storedByHub(6));
}

TEST(MemberUsage, StoppedMembersAreRemoved)
{
    MemberUsage usage;
    usage.memberClosed("gone/1", 3);
    usage.memberClosed("here/1", 9);
    usage.dropBefore(6);
    EXPECT_EQ(usage.membersFinalFor(1), std::vector<std::string> { "here/1" });
}

} // namespace
} // namespace snipestall::serving
