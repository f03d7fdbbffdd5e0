#include "trial_book.hpp"

#include <gtest/gtest.h>

namespace snipestall::entry {
namespace {

using namespace std::chrono_literals;

const TrialBook::Time Start { 1h };
const Trial First { 7, "samsun-1~1", "samsun-1" };
const Trial Second { 7, "samsun-2~1", "samsun-2" };

// Three callers' neighbours lose their streams to one prompt: its copies reach three instances at
// the same moment, and each begins its own before it can know of the others.
TEST(TrialBookTest, OneCopyBeginsAndTheOthersWaitForIt)
{
    TrialBook book;
    EXPECT_TRUE(book.mayBegin(First, Start));
    EXPECT_FALSE(book.mayBegin(Second, Start));
    EXPECT_TRUE(book.mayBegin({ 8, "samsun-2~2", "samsun-2" }, Start));
    // Its second try, after the first server has died.
    EXPECT_TRUE(book.mayBegin(First, Start + 1s));
    EXPECT_FALSE(book.mayBegin(Second, Start + 1s));
    book.over(7, Second.request);
    EXPECT_FALSE(book.mayBegin(Second, Start + 1s));
    book.over(7, First.request);
    EXPECT_TRUE(book.mayBegin(Second, Start + 1s));
}

// The instance of the first copy is lost: its copies elsewhere must not wait for it for ever.
TEST(TrialBookTest, ACopyIsNotWaitedForBeyondItsHome)
{
    TrialBook book;
    EXPECT_TRUE(book.mayBegin(First, Start));
    book.homeLost(First.home);
    EXPECT_TRUE(book.mayBegin(Second, Start));
    EXPECT_TRUE(book.mayBegin({ 7, "samsun-3~1", "samsun-3" }, Start + 1min));
}

} // namespace
} // namespace snipestall::entry
