#include "server_probe.hpp"

#include "snipestall/wire/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <utility>

namespace snipestall::entry {
namespace {

using boost::asio::ip::tcp;

class ServerProbeTest : public testing::Test
{
protected:
    /// Accepts the given number of connections and closes each at once, then refuses all further
    /// ones.
    wire::Task<void> closeAfter(int connections)
    {
        constexpr auto UseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        for (int i = 0; i < connections; ++i) {
            auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
            ++m_taken;
            socket.close();
        }
        m_acceptor.close();
    }

    bool probe(int connections)
    {
        bool ended = false;
        boost::asio::co_spawn(m_io, closeAfter(connections), boost::asio::detached);
        boost::asio::co_spawn(
            m_io,
            [&]() -> wire::Task<void> {
                const wire::Endpoint server { "127.0.0.1", m_acceptor.local_endpoint().port() };
                ended = co_await hasTerminated(m_http, server);
                m_io.stop();
            },
            boost::asio::detached);
        m_io.run_for(std::chrono::seconds(20));
        return ended;
    }

    boost::asio::io_context m_io { 1 };
    tcp::acceptor m_acceptor { m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    wire::HttpClient m_http { m_io };
    int m_taken = 0;
};

// Guards against a prompt crashing a third server: the second one was terminating when it was
// probed, accepted the connection and broke it off, so its crash was not counted.
TEST_F(ServerProbeTest, AServerThatBreaksOffProbesWhileTerminatingHasTerminated)
{
    EXPECT_TRUE(probe(3));
    EXPECT_EQ(m_taken, 3);
}

TEST_F(ServerProbeTest, AServerThatAlwaysBreaksOffProbesCountsAsRunning)
{
    EXPECT_FALSE(probe(1000));
    EXPECT_GT(m_taken, 1);
}

} // namespace
} // namespace snipestall::entry
