#include "proxy/proxy.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>

namespace snipestall::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Runs a proxy on its own thread between two plain sockets of the test.
class ProxyTest : public testing::Test
{
protected:
    ProxyTest()
        : m_listener(m_testIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_client(m_testIo)
        , m_server(m_testIo)
    { }

    void SetUp() override
    {
        const wire::Endpoint any { "127.0.0.1", 0 };
        const wire::Endpoint target { "127.0.0.1", m_listener.local_endpoint().port() };
        m_proxy = std::move(Proxy::create(m_io, any, target).value());
        asio::co_spawn(m_io, m_proxy->acceptAll(), asio::detached);
        m_thread = std::thread([this] { m_io.run(); });
        const auto address = asio::ip::make_address("127.0.0.1");
        m_client.connect({ address, m_proxy->endpoint().port });
        m_server = m_listener.accept();
    }

    void TearDown() override
    {
        m_io.stop();
        m_thread.join();
    }

    /// Applies the faults on the proxy's thread and waits for it, so that the order of faults and
    /// bytes is known.
    void order(const std::string &faults)
    {
        std::promise<void> done;
        asio::post(m_io, [this, &faults, &done] {
            wire::HttpRequest request { "POST", "/faults", {}, faults };
            m_proxy->changeFaults(request);
            done.set_value();
        });
        done.get_future().wait();
    }

    std::uint64_t counter(const std::string &name)
    {
        std::promise<std::uint64_t> value;
        asio::post(m_io, [this, &name, &value] {
            const auto answer = boost::json::parse(m_proxy->counters({}).body);
            value.set_value(answer.at(name).to_number<std::uint64_t>());
        });
        return value.get_future().get();
    }

    /// Waits because the proxy counts bytes only after it has forwarded them. If the value is never
    /// reached, the time limit of the test ends the wait.
    void waitForCounter(const std::string &name, std::uint64_t value)
    {
        while (counter(name) != value)
            std::this_thread::yield();
    }

    static std::string readSome(tcp::socket &socket)
    {
        std::string text(100, '\0');
        boost::system::error_code ec;
        text.resize(socket.read_some(asio::buffer(text), ec));
        return text;
    }

    static void send(tcp::socket &socket, const std::string &text)
    {
        asio::write(socket, asio::buffer(text));
    }

    asio::io_context m_io;
    asio::io_context m_testIo;
    tcp::acceptor m_listener;
    tcp::socket m_client;
    tcp::socket m_server;
    std::unique_ptr<Proxy> m_proxy;
    std::thread m_thread;
};

TEST_F(ProxyTest, ForwardsBytesAndHalfClose)
{
    send(m_client, "hello");
    EXPECT_EQ(readSome(m_server), "hello");
    m_client.shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(readSome(m_server), "");
    send(m_server, "answer");
    EXPECT_EQ(readSome(m_client), "answer");
}

TEST_F(ProxyTest, CutsOnceAfterRequestedBytes)
{
    order(R"({"cut_after_bytes_to_target":3})");
    send(m_client, "hello");
    EXPECT_EQ(readSome(m_server), "hel");
    EXPECT_EQ(readSome(m_server), "");
    EXPECT_EQ(readSome(m_client), "");
}

TEST_F(ProxyTest, DropsOneDirectionAndKeepsTheOther)
{
    order(R"({"drop":"to_client"})");
    send(m_server, "lost");
    send(m_client, "kept");
    EXPECT_EQ(readSome(m_server), "kept");
    waitForCounter("dropped_to_client", 4);
    order(R"({"drop":"none"})");
    send(m_server, "seen");
    EXPECT_EQ(readSome(m_client), "seen");
}

TEST_F(ProxyTest, FreezeHoldsBytesAndReleasesThem)
{
    order(R"({"freeze":true})");
    send(m_client, "frozen");
    EXPECT_EQ(counter("bytes_to_target"), 0);
    order(R"({"freeze":false})");
    EXPECT_EQ(readSome(m_server), "frozen");
    waitForCounter("bytes_to_target", 6);
}

TEST_F(ProxyTest, CutAllClosesBothSides)
{
    order(R"({"cut_all":true})");
    EXPECT_EQ(readSome(m_client), "");
    EXPECT_EQ(readSome(m_server), "");
}

} // namespace
} // namespace snipestall::standins
