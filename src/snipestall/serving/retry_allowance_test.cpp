#include "snipestall/serving/retry_allowance.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

/// Returns how many repeats are allowed if one is asked for every 100 ms.
int repeatsWithin(RetryAllowance &allowance, SteadyTime from, std::chrono::milliseconds length)
{
    int repeats = 0;
    for (SteadyTime now = from; now < from + length; now += 100ms)
        repeats += allowance.tryRepeat("ledger", now) ? 1 : 0;
    return repeats;
}

// Guards against a service that does not recover from a short failure: every request fails and is
// repeated, so the servers get twice the load under which they failed.
TEST(RetryAllowance, RepeatsStayAPartOfFirstAttempts)
{
    RetryAllowance allowance({ 10s, 0.2, 0 });
    int repeats = 0;
    for (int i = 0; i < 1000; ++i) {
        const SteadyTime now = Start + i * 10ms;
        allowance.countFirstAttempt("ledger", now);
        repeats += allowance.tryRepeat("ledger", now) ? 1 : 0;
    }
    EXPECT_LE(repeats, 200);
    EXPECT_GE(repeats, 100);
}

TEST(RetryAllowance, TheFixedPartIsDividedOverTheInstances)
{
    RetryAllowance allowance({ 10s, 0.2, 60 });
    allowance.setInstances(6, Start);
    const int first = repeatsWithin(allowance, Start, 10s);
    const int second = repeatsWithin(allowance, Start + 10s, 10s);
    EXPECT_LE(first, 10);
    EXPECT_LE(second, 10);
    EXPECT_GE(second, 5);
}

// Guards against a process that spends the fixed part of the limit again after each start, and all
// of it before it knows of any other instance.
TEST(RetryAllowance, AProcessThatHasJustStartedHasNoCredits)
{
    RetryAllowance allowance({ 10s, 0.2, 60 });
    EXPECT_FALSE(allowance.tryRepeat("ledger", Start));
    EXPECT_FALSE(allowance.tryRepeat("ledger", Start + 10s));
    allowance.setInstances(1, Start + 10s);
    EXPECT_FALSE(allowance.tryRepeat("ledger", Start + 10s));
    EXPECT_TRUE(allowance.tryRepeat("ledger", Start + 11s));
}

TEST(RetryAllowance, CreditsExpire)
{
    RetryAllowance allowance({ 10s, 0.2, 0 });
    for (int i = 0; i < 20; ++i)
        allowance.countFirstAttempt("ledger", Start);
    EXPECT_TRUE(allowance.tryRepeat("ledger", Start + 8s));
    EXPECT_FALSE(allowance.tryRepeat("ledger", Start + 10s));
}

// Guards against a request that waited before its first attempt and is counted in the past: it must
// not replace what was counted since.
TEST(RetryAllowance, ALateCountKeepsLaterCredits)
{
    RetryAllowance allowance({ 10s, 0.2, 0 });
    for (int i = 0; i < 20; ++i)
        allowance.countFirstAttempt("ledger", Start + 10s);
    allowance.countFirstAttempt("ledger", Start);
    EXPECT_TRUE(allowance.tryRepeat("ledger", Start + 10s));
    EXPECT_TRUE(allowance.tryRepeat("ledger", Start + 10s));
    EXPECT_FALSE(allowance.tryRepeat("ledger", Start + 10s));
}

TEST(RetryAllowance, ServicesCountSeparately)
{
    RetryAllowance allowance({ 10s, 0.2, 10 });
    allowance.setInstances(1, Start);
    while (allowance.tryRepeat("ledger", Start + 10s)) { }
    EXPECT_TRUE(allowance.tryRepeat("lm", Start + 10s));
}

TEST(RetryAllowance, HandsOverHalfToAPeerThatHasNone)
{
    RetryAllowance giver({ 10s, 0.2, 0 });
    RetryAllowance receiver({ 10s, 0.2, 0 });
    for (int i = 0; i < 60; ++i)
        giver.countFirstAttempt("ledger", Start);
    const auto grants = giver.handOver(receiver.levels(Start), Start + 1s);
    ASSERT_EQ(grants.size(), 1U);
    EXPECT_NEAR(grants.front().credits, 3, 1e-9);
    EXPECT_EQ(grants.front().age, 1s);
    receiver.receive(grants.front(), Start + 1s);
    EXPECT_NEAR(giver.levels(Start + 1s).at("ledger"), 3, 1e-9);
    EXPECT_NEAR(receiver.levels(Start + 1s).at("ledger"), 3, 1e-9);
    EXPECT_EQ(receiver.levels(Start + 9s).at("ledger"), 0) << "credits keep their age";
}

TEST(RetryAllowance, KeepsItsCreditsFromAPeerThatHasEnough)
{
    RetryAllowance giver({ 10s, 0.2, 0 });
    for (int i = 0; i < 60; ++i)
        giver.countFirstAttempt("ledger", Start);
    EXPECT_TRUE(giver.handOver({ { "ledger", 4 } }, Start).empty());
}

// Guards against a limit that is exceeded by repeats that were taken, not sent and given back: they
// must not live longer than if they had not been taken.
TEST(RetryAllowance, ARepeatThatIsGivenBackKeepsItsAge)
{
    RetryAllowance allowance({ 10s, 0.2, 0 });
    for (int i = 0; i < 10; ++i)
        allowance.countFirstAttempt("lm", Start);
    EXPECT_TRUE(allowance.hasRepeat("lm", Start));
    const auto credit = allowance.takeRepeat("lm", Start + 8s);
    ASSERT_TRUE(credit);
    EXPECT_FALSE(allowance.hasRepeat("lm", Start + 8s));
    allowance.giveBack(*credit);
    EXPECT_TRUE(allowance.hasRepeat("lm", Start + 8s));
    EXPECT_FALSE(allowance.hasRepeat("lm", Start + 9s));
}

} // namespace
} // namespace snipestall::serving
