#include "snipestall/serving/stall_rule.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

// A caller gets its first token after two seconds although servers are idle: the one that was
// chosen lost its power, no reset came, and the connection's own timeout was waited for.
TEST(StallRule, ASilentServerIsGivenUpWellBeforeTheConnectionsTimeout)
{
    const WaitingAttempt attempt { Start, Start - 1s, 0ms };
    EXPECT_FALSE(isStalled(attempt, Start + 400ms));
    EXPECT_TRUE(isStalled(attempt, Start + 460ms));
}

TEST(StallRule, AServerThatStreamsToOthersIsBusyNotGone)
{
    const WaitingAttempt attempt { Start, Start + 900ms, 0ms };
    EXPECT_FALSE(isStalled(attempt, Start + 1s));
}

TEST(StallRule, ALongPromptIsGivenTheTimeItTakesToRead)
{
    const WaitingAttempt attempt { Start, Start - 1s, 500ms };
    EXPECT_FALSE(isStalled(attempt, Start + 1900ms));
    EXPECT_TRUE(isStalled(attempt, Start + 2s));
}

} // namespace
} // namespace snipestall::serving
