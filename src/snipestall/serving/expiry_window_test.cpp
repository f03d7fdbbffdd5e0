#include "snipestall/serving/expiry_window.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

// Guards against most requests being refused permanently after an outage of the store: an instance
// that gets the list from its peers has seen no failed call of its own, takes all expired servers
// as gone, and ids that are gone are never accepted again.
TEST(ExpiryWindow, OpensAfterAGapWhateverEndsIt)
{
    ExpiryWindow window(1200ms, 2000ms);
    EXPECT_FALSE(window.isOpen(Start));
    window.listReceived(4500ms, Start);
    EXPECT_TRUE(window.isOpen(Start + 1300ms));
    EXPECT_FALSE(window.isOpen(Start + 1400ms));
}

TEST(ExpiryWindow, StaysClosedWhileTheListIsFresh)
{
    ExpiryWindow window(1200ms, 2000ms);
    for (int i = 0; i < 100; ++i)
        window.listReceived(1900ms, Start + i * 100ms);
    EXPECT_FALSE(window.isOpen(Start + 10s));
}

TEST(ExpiryWindow, IsNotProlongedByAFreshList)
{
    ExpiryWindow window(1200ms, 2000ms);
    window.listReceived(4500ms, Start);
    window.listReceived(200ms, Start + 1s);
    EXPECT_FALSE(window.isOpen(Start + 1400ms));
}

TEST(ExpiryWindow, IsNoLongerThanServersNeed)
{
    ExpiryWindow window(1200ms, 9000ms);
    window.listReceived(4500ms, Start);
    EXPECT_EQ(window.until(), Start + 2s);
}

} // namespace
} // namespace snipestall::serving
