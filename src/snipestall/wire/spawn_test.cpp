#include "snipestall/wire/spawn.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

namespace snipestall::wire {
namespace {

class SpawnTest : public testing::Test
{
protected:
    Task<void> failTwice()
    {
        ++m_runs;
        co_await sleepFor(std::chrono::milliseconds(1));
        if (m_runs <= 2)
            throw std::length_error("field value too large");
        m_io.stop();
    }

    Task<void> failOnce()
    {
        ++m_runs;
        co_await sleepFor(std::chrono::milliseconds(1));
        throw std::length_error("field value too large");
    }

    boost::asio::io_context m_io { 1 };
    int m_runs = 0;
};

// Guards against a loop of the process that is dead without a trace since an exception left it.
TEST_F(SpawnTest, ALoopThatThrowsBeginsAgain)
{
    spawnLoop(
        m_io, [this] { return failTwice(); }, "test");
    runLoop(m_io);
    EXPECT_EQ(m_runs, 3);
}

// Guards against an exception without a log line.
TEST_F(SpawnTest, ATaskThatThrowsIsLogged)
{
    testing::internal::CaptureStdout();
    spawn(m_io, failOnce(), "test");
    runLoop(m_io);
    const std::string log = testing::internal::GetCapturedStdout();
    EXPECT_EQ(m_runs, 1);
    EXPECT_NE(log.find("field value too large"), std::string::npos) << log;
}

// Guards against a process that ends with every request on it because one handler throws.
TEST_F(SpawnTest, TheLoopGoesOnAfterAHandlerThatThrows)
{
    bool ran = false;
    boost::asio::post(m_io, [] { throw std::length_error("field value too large"); });
    boost::asio::post(m_io, [&ran] { ran = true; });
    runLoop(m_io);
    EXPECT_TRUE(ran);
}

} // namespace
} // namespace snipestall::wire
