#include "snipestall/gateway/caller_listener.hpp"

#include "snipestall/gateway/gateway_state.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <string>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

class CallerListenerTest : public testing::Test
{
protected:
    CallerListenerTest()
    {
        // Another process may take a port between its choice and its use.
        constexpr int MaxTries = 20;
        for (int i = 0; i < MaxTries && !m_listener; ++i) {
            {
                const tcp::acceptor probe(m_io, { boost::asio::ip::address_v4::loopback(), 0 });
                m_address = probe.local_endpoint();
            }
            auto listener = CallerListener::create(m_state, { "127.0.0.1", m_address.port() },
                                                   RequestOrigin::Caller);
            if (listener)
                m_listener = std::move(*listener);
        }
        m_listener->start();
        m_io.poll();
    }

    boost::asio::io_context m_io { 1 };
    GatewayState m_state { m_io, GatewaySettings {}, 1 };
    tcp::endpoint m_address;
    std::unique_ptr<CallerListener> m_listener;
};

// Guards against a reset of connections that the kernel has established and the process has not yet
// accepted when it stops.
TEST_F(CallerListenerTest, ConnectionsThatWaitToBeAcceptedAreAnswered)
{
    tcp::socket first(m_io);
    tcp::socket second(m_io);
    first.connect(m_address);
    second.connect(m_address);
    m_listener->stopAccepting();
    boost::system::error_code refused;
    tcp::socket late(m_io);
    late.connect(m_address, refused);
    EXPECT_EQ(refused, boost::asio::error::connection_refused);
    for (tcp::socket *caller : { &first, &second }) {
        const std::string request = "GET / HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a\r\n"
                                    "Connection: close\r\n\r\n";
        boost::asio::write(*caller, boost::asio::buffer(request));
        std::string text;
        boost::system::error_code end;
        boost::asio::async_read(
            *caller, boost::asio::dynamic_buffer(text),
            [&end](const boost::system::error_code &error, std::size_t) { end = error; });
        while (!end)
            m_io.run_one();
        EXPECT_EQ(end, boost::asio::error::eof);
        EXPECT_TRUE(text.starts_with("HTTP/1.1 503 ")) << text;
    }
}

} // namespace
} // namespace snipestall::gateway
