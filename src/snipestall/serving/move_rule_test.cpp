#include "snipestall/serving/move_rule.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

TEST(MoveRule, AStreamStaysWhileItMayStillEndInTime)
{
    EXPECT_FALSE(shouldMove(Start + 2500ms, Start));
    EXPECT_FALSE(shouldMove(Start + 800ms, Start));
}

// The notice arrived late, or this instance was suspended: the server may still run for a moment.
TEST(MoveRule, AStreamMovesShortlyBeforeTheEndAndAfterIt)
{
    EXPECT_TRUE(shouldMove(Start + 600ms, Start));
    EXPECT_TRUE(shouldMove(Start - 100ms, Start));
}

} // namespace
} // namespace snipestall::serving
