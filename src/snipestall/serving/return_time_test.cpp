#include "snipestall/serving/return_time.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

TEST(ReturnTime, RoomThatComesInTimeIsUsed)
{
    EXPECT_EQ(returnTime({ 200ms, 1000ms, 12s }, 0.5), 200ms);
    EXPECT_EQ(returnTime({ 200ms, 0ms, 12s }, 0.5), 200ms);
}

// Guards against callers that come back in the middle of a flood, late already, and take the room
// of new requests.
TEST(ReturnTime, ALateCallerComesBackWhenTheLoadMayBeOver)
{
    EXPECT_EQ(returnTime({ 700ms, 1000ms, 12s }, 0), 4s);
    EXPECT_EQ(returnTime({ 700ms, 1000ms, 12s }, 1), 3s);
}

// Guards against a time at which there is no room yet.
TEST(ReturnTime, NobodyIsToldToComeBackBeforeThereIsRoom)
{
    EXPECT_EQ(returnTime({ 5s, 1000ms, 3s }, 0.5), 5s);
}

// Guards against callers that all come back with the first request after a rest, or before it.
TEST(ReturnTime, CallersAreSpreadAfterARest)
{
    EXPECT_EQ(returnTimeAfter(2s, 0), 2s);
    EXPECT_EQ(returnTimeAfter(2s, 0.5), 2250ms);
}

} // namespace
} // namespace snipestall::serving
