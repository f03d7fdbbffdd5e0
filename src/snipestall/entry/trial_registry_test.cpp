#include "trial_registry.hpp"

#include <gtest/gtest.h>

namespace snipestall::entry {
namespace {

using namespace std::chrono_literals;

const TrialRegistry::Time Start { 1h };
const Trial First { 7, "samsun-1~1", "samsun-1" };
const Trial Second { 7, "samsun-2~1", "samsun-2" };

// Guards against one crashing prompt taking down three servers: its copies reach three instances at
// the same moment, and each instance starts its own copy before it can know of the others.
TEST(TrialRegistryTest, OneCopyStartsAndTheOthersWaitForIt)
{
    TrialRegistry registry;
    EXPECT_TRUE(registry.mayStart(First, Start));
    EXPECT_FALSE(registry.mayStart(Second, Start));
    EXPECT_TRUE(registry.mayStart({ 8, "samsun-2~2", "samsun-2" }, Start));
    // The second attempt of the first copy, after the first server has crashed.
    EXPECT_TRUE(registry.mayStart(First, Start + 1s));
    EXPECT_FALSE(registry.mayStart(Second, Start + 1s));
    registry.endTrial(7, Second.request);
    EXPECT_FALSE(registry.mayStart(Second, Start + 1s));
    registry.endTrial(7, First.request);
    EXPECT_TRUE(registry.mayStart(Second, Start + 1s));
}

// The home of the first copy is lost: copies on other instances must not wait for it forever.
TEST(TrialRegistryTest, CopiesDoNotWaitOnceTheHomeOfTheFirstIsLost)
{
    TrialRegistry registry;
    EXPECT_TRUE(registry.mayStart(First, Start));
    registry.removeHome(First.home);
    EXPECT_TRUE(registry.mayStart(Second, Start));
    EXPECT_TRUE(registry.mayStart({ 7, "samsun-3~1", "samsun-3" }, Start + 1min));
}

} // namespace
} // namespace snipestall::entry
