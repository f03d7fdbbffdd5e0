#include "snipestall/gateway/caller_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string_view>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using wire::Task;

class CallerLinkTest : public testing::Test
{
protected:
    CallerLinkTest()
    {
        tcp::acceptor acceptor(m_io, { boost::asio::ip::address_v4::loopback(), 0 });
        m_caller.connect(acceptor.local_endpoint());
        m_connection = std::make_shared<CallerConnection>(acceptor.accept());
        boost::asio::co_spawn(
            m_io,
            [this]() -> Task<void> {
                serving::TrafficLimits limits;
                limits.idleTimeout = 30s;
                limits.headerTimeout = 30s;
                m_read = co_await m_connection->readRequest(limits);
            },
            boost::asio::detached);
        while (!m_connection->idle())
            m_io.run_one();
        m_io.poll();
    }

    void send(std::string_view text)
    {
        boost::asio::write(m_caller, boost::asio::buffer(text.data(), text.size()));
    }

    boost::asio::io_context m_io { 1 };
    tcp::socket m_caller { m_io };
    std::shared_ptr<CallerConnection> m_connection;
    std::optional<RequestRead> m_read;
};

// Guards against a shutdown that closes a connection on which the next request has already arrived.
TEST_F(CallerLinkTest, ReadsAReceivedRequestAfterTheIdleWaitIsCancelled)
{
    send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    ASSERT_TRUE(m_connection->idle());
    m_connection->cancelIdleWait();
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Ok);
}

TEST_F(CallerLinkTest, ClosesAnIdleConnectionWhenTheIdleWaitIsCancelled)
{
    m_connection->cancelIdleWait();
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Closed);
}

} // namespace
} // namespace snipestall::gateway
