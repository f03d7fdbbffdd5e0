#include "snipestall/serving/retry_allowance.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

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
    allowance.setInstances(6);
    int repeats = 0;
    for (int i = 0; i < 100; ++i)
        repeats += allowance.tryRepeat("ledger", Start) ? 1 : 0;
    EXPECT_LE(repeats, 10);
    EXPECT_GE(repeats, 5);
}

TEST(RetryAllowance, TheWindowSlides)
{
    RetryAllowance allowance({ 10s, 0.2, 10 });
    while (allowance.tryRepeat("ledger", Start)) { }
    EXPECT_FALSE(allowance.tryRepeat("ledger", Start + 9s));
    EXPECT_TRUE(allowance.tryRepeat("ledger", Start + 10s + 500ms));
}

TEST(RetryAllowance, ServicesCountSeparately)
{
    RetryAllowance allowance({ 10s, 0.2, 10 });
    while (allowance.tryRepeat("ledger", Start)) { }
    EXPECT_TRUE(allowance.tryRepeat("lm", Start));
}

} // namespace
} // namespace snipestall::serving
