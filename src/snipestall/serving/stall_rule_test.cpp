#include "snipestall/serving/stall_rule.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

// Guards against a first token that arrives after two seconds although servers are idle: the chosen
// server lost its power, no connection reset arrived, and the instance waited for the timeout of
// the connection.
TEST(StallRule, AnUnresponsiveServerCountsAsSilentWellBeforeTheConnectionTimeout)
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

ReplacementMeans allMeans()
{
    return { 1, false, 4s, true, true, 200ms };
}

// Guards against a request that fails although its server would have answered it half a second
// later: its attempt was ended because of silence before it was known if it could be repeated.
TEST(StallRule, AnAttemptIsEndedOnlyIfItsReplacementCanBeSent)
{
    EXPECT_EQ(decideStall(allMeans()), StallDecision::Replace);
    ReplacementMeans means = allMeans();
    means.runsLeft = 0;
    EXPECT_EQ(decideStall(means), StallDecision::NoRunLeft);
    means = allMeans();
    means.blocked = true;
    EXPECT_EQ(decideStall(means), StallDecision::Blocked);
    means = allMeans();
    means.repeatLeft = false;
    EXPECT_EQ(decideStall(means), StallDecision::NoRepeatLeft);
    means = allMeans();
    means.serverFound = false;
    EXPECT_EQ(decideStall(means), StallDecision::NoServer);
}

// Guards against a replacement that can't answer before the deadline while the first server can.
TEST(StallRule, AnAttemptIsNotEndedIfTheReplacementWouldBeTooLate)
{
    ReplacementMeans means = allMeans();
    means.predicted = means.timeLeft;
    EXPECT_EQ(decideStall(means), StallDecision::NoTimeLeft);
    means = allMeans();
    means.predicted = {};
    means.timeLeft = 0s;
    EXPECT_EQ(decideStall(means), StallDecision::NoTimeLeft);
}

// Guards against placing each of hundreds of stalled requests twenty times a second.
TEST(StallRule, AStalledAttemptIsDecidedOnLessOftenTheLongerItWaits)
{
    int decisions = 0;
    for (SteadyTime now = Start + 460ms; now < Start + 8s; now = nextStallDecision(Start, now))
        ++decisions;
    EXPECT_GE(decisions, 8);
    EXPECT_LE(decisions, 16);
}

TEST(StallRule, EachDecisionHasAName)
{
    EXPECT_STREQ(toString(StallDecision::Replace), "replaced");
    EXPECT_STREQ(toString(StallDecision::NoServer), "no-server");
}

} // namespace
} // namespace snipestall::serving
