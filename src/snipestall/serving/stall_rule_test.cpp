#include "snipestall/serving/stall_rule.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

// Guards against a first token that arrives after two seconds although servers are idle: the chosen
// server lost its power, no connection reset arrived, and the instance waited for the timeout of
// the connection.
TEST(StallRule, AnUnresponsiveServerIsGivenUpWellBeforeTheConnectionTimeout)
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
