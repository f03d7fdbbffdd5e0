#include "snipestall/serving/stream_pace.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

TEST(StreamPace, HasNoMedianAfterFewEvents)
{
    StreamPace pace;
    for (int i = 0; i < 6; ++i)
        pace.event(Start + i * 20ms);
    EXPECT_FALSE(pace.median());
}

// Guards against a server that looks slow because one long prompt was read beside a stream, or fast
// because a delayed event arrived together with the next one.
TEST(StreamPace, OneLongPauseAndTheShortOneAfterItDoNotCount)
{
    StreamPace pace;
    for (int i = 0; i < 10; ++i)
        pace.event(Start + i * 20ms);
    pace.event(Start + 900ms);
    pace.event(Start + 901ms);
    ASSERT_TRUE(pace.median());
    EXPECT_EQ(*pace.median(), 20ms);
}

} // namespace
} // namespace snipestall::serving
