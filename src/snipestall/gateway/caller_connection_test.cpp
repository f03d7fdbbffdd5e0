#include "snipestall/gateway/caller_connection.hpp"

#include "snipestall/gateway/connection_registry.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using wire::Task;

class CallerLinkTest : public testing::Test
{
protected:
    explicit CallerLinkTest(std::chrono::milliseconds idleTimeout = 30s)
    {
        m_limits.idleTimeout = idleTimeout;
        m_limits.headerTimeout = 30s;
        tcp::acceptor acceptor(m_io, { boost::asio::ip::address_v4::loopback(), 0 });
        m_caller.connect(acceptor.local_endpoint());
        m_connection = std::make_shared<CallerConnection>(acceptor.accept(), m_registry);
        boost::asio::co_spawn(
            m_io,
            [this]() -> Task<void> {
                const CallerConnection::Limits limits = [this] { return m_limits; };
                const CallerConnection::HeadCheck check = [this](const auto &) {
                    ++m_headChecks;
                    return m_terms;
                };
                m_read = co_await m_connection->readRequest(limits, check);
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

    static constexpr std::size_t ConnectionBytes = 100000;
    std::shared_ptr<ConnectionRegistry> m_registry =
        std::make_shared<ConnectionRegistry>(ConnectionBytes);
    serving::TrafficLimits m_limits;
    BodyTerms m_terms { std::nullopt, 30s };
    int m_headChecks = 0;
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

// Guards against an answer that is reset because its caller, which is there, reads nothing for some
// seconds.
TEST_F(CallerLinkTest, ACallerThatPausesInReadingGetsTheWholeAnswer)
{
    constexpr std::size_t PieceBytes = 100000;
    constexpr int Pieces = 100;
    send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    bool ended = false;
    boost::asio::co_spawn(
        m_io,
        [this, &ended]() -> Task<void> {
            while (!m_read)
                co_await wire::sleepFor(1ms);
            boost::beast::http::response_header<> head;
            head.version(11);
            head.result(200);
            bool written = co_await m_connection->beginStream(std::move(head));
            for (int i = 0; i < Pieces && written; ++i) {
                std::string piece(PieceBytes, 'x');
                written = co_await m_connection->writePiece(std::move(piece));
            }
            ended = written && co_await m_connection->endStream();
        },
        boost::asio::detached);
    std::size_t received = 0;
    boost::asio::co_spawn(
        m_io,
        [this, &received]() -> Task<void> {
            co_await wire::sleepFor(3s);
            std::vector<char> bytes(PieceBytes);
            boost::system::error_code error;
            while (!error && received < Pieces * PieceBytes)
                received += co_await m_caller.async_read_some(
                    boost::asio::buffer(bytes),
                    boost::asio::redirect_error(boost::asio::use_awaitable, error));
        },
        boost::asio::detached);
    m_io.restart();
    m_io.run_for(20s);
    EXPECT_TRUE(ended);
    EXPECT_GE(received, Pieces * PieceBytes);
}

// Guards against a body that is read whole although its request is refused in any case.
TEST_F(CallerLinkTest, ALargeBodyOfARefusedRequestIsNotRead)
{
    m_terms.refusal = HeadRefusal { 401, "unknown-key" };
    send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100000\r\n\r\na");
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Refused);
    EXPECT_EQ(m_connection->refusal().status, 401U);
}

// Guards against a caller that is asked for a body which nobody wants.
TEST_F(CallerLinkTest, ARefusedRequestIsNotAskedForItsBody)
{
    m_terms.refusal = HeadRefusal { 401, "unknown-key" };
    send("POST / HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Refused);
    EXPECT_EQ(m_caller.available(), 0U);
}

TEST_F(CallerLinkTest, ASmallBodyIsReadWithoutALookAtItsHead)
{
    send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nhello");
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Ok);
    EXPECT_EQ(*m_connection->request().body(), "hello");
    EXPECT_EQ(m_headChecks, 0);
}

// Guards against a body of which a byte arrives within each idle time, for ever.
TEST_F(CallerLinkTest, AWholeBodyHasATime)
{
    m_terms.time = 200ms;
    send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100000\r\n\r\n");
    boost::asio::steady_timer timer(m_io);
    std::function<void()> drip = [&] {
        timer.expires_after(10ms);
        timer.async_wait([&](const boost::system::error_code &) {
            if (m_read)
                return;
            send("a");
            drip();
        });
    };
    drip();
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::HeaderTimeout);
}

/// A connection of a machine with little memory.
class LittleMemoryTest : public CallerLinkTest
{
protected:
    LittleMemoryTest() { m_limits.maxBodyBytes = 1000; }
};

// Guards against bytes behind a running request that fill the kernel's memory.
TEST_F(LittleMemoryTest, AClientThatSendsFarAheadIsGivenUp)
{
    bool disconnected = false;
    send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    m_io.restart();
    m_io.run();
    ASSERT_EQ(m_read, RequestRead::Ok);
    m_connection->watchForDisconnect([&disconnected] { disconnected = true; });
    m_registry->limitUnread();
    EXPECT_FALSE(disconnected);
    send(std::string(ConnectionBytes, 'a'));
    m_registry->limitUnread();
    EXPECT_TRUE(disconnected);
}

// Guards against a request that is refused because the loop has not yet come to the end of a
// connection whose client has left.
TEST_F(LittleMemoryTest, AClientThatHasLeftHoldsNothing)
{
    constexpr std::size_t Body = 40000;
    m_limits.maxBodyBytes = Body;
    send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 40000\r\n\r\n"
         + std::string(Body - 1, 'a'));
    m_io.restart();
    while (m_registry->held() < Body - 1)
        m_io.run_one();
    tcp::acceptor acceptor(m_io, { boost::asio::ip::address_v4::loopback(), 0 });
    tcp::socket caller(m_io);
    caller.connect(acceptor.local_endpoint());
    CallerConnection other(acceptor.accept(), m_registry);
    EXPECT_FALSE(other.holdAnswer(2 * Body));
    m_caller.close();
    std::this_thread::sleep_for(20ms);
    EXPECT_TRUE(other.holdAnswer(2 * Body));
}

// Guards against a request that waits for memory in vain, because later ones that need less take
// what is freed.
TEST_F(LittleMemoryTest, RequestsGetMemoryInTheOrderInWhichTheyWait)
{
    constexpr std::size_t Large = 2 * serving::ConnectionLedger::OrdinaryBytes;
    m_registry->setLargestBody(Large);
    const ConnectionRegistry::Id id = m_registry->add(*m_connection);
    EXPECT_TRUE(m_registry->mayHoldNow(Large));
    const auto first = m_registry->beginWaiting();
    const auto second = m_registry->beginWaiting();
    EXPECT_FALSE(m_registry->mayHoldNow(Large));
    EXPECT_TRUE(m_registry->mayHoldNow(1));
    EXPECT_TRUE(m_registry->holdInTurn(second, id, 1));
    EXPECT_FALSE(m_registry->holdInTurn(second, id, Large));
    EXPECT_TRUE(m_registry->holdInTurn(first, id, Large));
    m_registry->endWaiting(first);
    EXPECT_TRUE(m_registry->holdInTurn(second, id, Large));
    m_registry->remove(id);
}

class ShortIdleTest : public CallerLinkTest
{
protected:
    static constexpr std::chrono::milliseconds IdleTimeout { 50 };

    ShortIdleTest()
        : CallerLinkTest(IdleTimeout)
    { }

    static constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
};

// Guards against closing a connection that its caller may reuse: the limit was raised while the
// connection was idle, and the old one stayed in force for it.
TEST_F(ShortIdleTest, ARaisedLimitHoldsForConnectionsThatAreIdle)
{
    m_limits.idleTimeout = 30s;
    m_io.restart();
    m_io.run_for(4 * IdleTimeout);
    ASSERT_FALSE(m_read);
    send(Request);
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Ok);
}

TEST_F(ShortIdleTest, AnIdleConnectionIsClosedAtTheLimit)
{
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Closed);
}

// Guards against a reset instead of an answer: the request has arrived in time, the loop is late
// and handles the end of the idle time first.
TEST_F(ShortIdleTest, ARequestThatHasArrivedIsReadAlthoughTheIdleTimeIsOver)
{
    // Both timers end in the same turn, after the sockets were looked at: this one goes first.
    boost::asio::steady_timer before(m_io, IdleTimeout / 2);
    before.async_wait([this](const boost::system::error_code &) { send(Request); });
    std::this_thread::sleep_for(2 * IdleTimeout);
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Ok);
}

// Guards against a body that stops at the port between instances and is held there for as long as
// an idle connection.
TEST_F(ShortIdleTest, ABodyMayNotPauseForAsLongAsAConnectionIsKept)
{
    m_limits.keptAtLeast = 30s;
    m_io.restart();
    m_io.run_for(4 * IdleTimeout);
    ASSERT_FALSE(m_read);
    send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\na");
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::HeaderTimeout);
}

/// Connections whose callers have sent a part of a head.
class ShortHeadTest : public CallerLinkTest
{
protected:
    static constexpr std::chrono::milliseconds HeaderTimeout { 50 };

    ShortHeadTest()
    {
        m_limits.headerTimeout = HeaderTimeout;
        send("GET / HTTP/1.1\r\n");
        while (m_connection->idle())
            m_io.run_one();
        m_io.poll();
    }
};

// Guards against a closed connection instead of an answer for a caller whose head is late.
TEST_F(ShortHeadTest, ACallerWhoseHeadIsLateCanBeAnswered)
{
    m_io.restart();
    m_io.run();
    ASSERT_EQ(m_read, RequestRead::HeaderTimeout);
    std::optional<bool> written;
    boost::asio::co_spawn(
        m_io,
        [this, &written]() -> Task<void> {
            CallerConnection::Answer answer;
            answer.result(408);
            answer.prepare_payload();
            written = co_await m_connection->write(std::move(answer));
        },
        boost::asio::detached);
    m_io.restart();
    m_io.run();
    EXPECT_EQ(written, true);
}

// Guards against a reset instead of an answer: the head has arrived in time, and the loop is late.
TEST_F(ShortHeadTest, AHeadThatHasArrivedIsReadAlthoughItsTimeIsOver)
{
    boost::asio::steady_timer before(m_io, HeaderTimeout / 2);
    before.async_wait(
        [this](const boost::system::error_code &) { send("Host: a.example\r\n\r\n"); });
    std::this_thread::sleep_for(2 * HeaderTimeout);
    m_io.restart();
    m_io.run();
    EXPECT_EQ(m_read, RequestRead::Ok);
}

} // namespace
} // namespace snipestall::gateway
