#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/http_stream.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace snipestall::wire {
namespace {

class HttpTest : public testing::Test
{
protected:
    Endpoint listen(HttpServer::Handler handler, HttpServerOptions options = {})
    {
        auto server =
            HttpServer::create(m_io, { "127.0.0.1", 0 }, std::move(handler), std::move(options));
        m_server = std::move(server.value());
        return m_server->endpoint();
    }

    Result<HttpResponse> fetch(const Endpoint &endpoint, HttpRequest request,
                               HttpCallOptions options = {})
    {
        Result<HttpResponse> result = fail(ErrorKind::Internal, "not finished");
        boost::asio::co_spawn(
            m_io,
            [&]() -> Task<void> {
                result = co_await m_client.fetch(endpoint, std::move(request), options);
                if (m_server)
                    m_server->stopAccepting();
                m_io.stop();
            },
            boost::asio::detached);
        m_io.restart();
        m_io.run();
        return result;
    }

    boost::asio::io_context m_io;
    HttpClient m_client { m_io };
    std::unique_ptr<HttpServer> m_server;
};

TEST_F(HttpTest, AnswersARequestWithItsBody)
{
    const Endpoint endpoint = listen([](HttpExchange &exchange) -> Task<void> {
        HttpResponse response = HttpResponse::json(200, exchange.request().body);
        co_await exchange.respond(std::move(response));
    });
    HttpRequest request { "POST", "/echo?x=1", {}, "hello" };
    const auto response = fetch(endpoint, request);
    ASSERT_TRUE(response.has_value()) << response.error().message;
    EXPECT_EQ(response->body, "hello");
}

TEST_F(HttpTest, ReadsAllChunksOfAStream)
{
    const Endpoint endpoint = listen([](HttpExchange &exchange) -> Task<void> {
        HttpResponse head;
        co_await exchange.beginStream(std::move(head));
        for (int i = 0; i < 50; ++i)
            co_await exchange.write(std::to_string(i) + ",");
        co_await exchange.finish();
    });
    const auto response = fetch(endpoint, {});
    ASSERT_TRUE(response.has_value()) << response.error().message;
    EXPECT_EQ(response->body.substr(0, 8), "0,1,2,3,");
    EXPECT_EQ(response->body.substr(response->body.size() - 3), "49,");
}

// Guards against an incomplete response that is passed to the caller as complete: a backend server
// crashes while it sends its response, and the client doesn't report an error.
TEST_F(HttpTest, ACutBodyIsAnErrorAndNotAnAnswer)
{
    const Endpoint endpoint = listen([](HttpExchange &exchange) -> Task<void> {
        HttpResponse head;
        co_await exchange.beginStream(std::move(head));
        co_await exchange.write("half");
        exchange.abort();
    });
    const auto response = fetch(endpoint, {});
    ASSERT_FALSE(response.has_value());
    EXPECT_EQ(response.error().kind, ErrorKind::OutcomeUnknown);
}

TEST_F(HttpTest, ARefusedConnectionIsUnavailable)
{
    Endpoint nobody = listen([](HttpExchange &) -> Task<void> { co_return; });
    m_server.reset();
    const auto response = fetch(nobody, {});
    ASSERT_FALSE(response.has_value());
    EXPECT_EQ(response.error().kind, ErrorKind::Unavailable);
}

TEST_F(HttpTest, ALargeBodyIsRefusedWith413)
{
    HttpServerOptions options;
    options.maxBody = 10;
    const Endpoint endpoint = listen(
        [](HttpExchange &exchange) -> Task<void> {
            HttpResponse response;
            co_await exchange.respond(std::move(response));
        },
        options);
    HttpRequest request { "POST", "/", {}, std::string(100, 'x') };
    const auto response = fetch(endpoint, request);
    ASSERT_TRUE(response.has_value()) << response.error().message;
    EXPECT_EQ(response->status, 413);
}

// Guards against bytes behind an answer that has no body, which stand before the next answer.
TEST_F(HttpTest, NothingStandsBehindAnAnswerWithoutABody)
{
    const Endpoint endpoint = listen([](HttpExchange &exchange) -> Task<void> {
        HttpResponse response;
        response.status = exchange.request().path() == "/204" ? 204 : 200;
        if (exchange.request().path() == "/whole") {
            response.body = "text";
            co_await exchange.respond(std::move(response));
            co_return;
        }
        co_await exchange.beginStream(std::move(response));
        co_await exchange.write("piece");
        co_await exchange.finish();
    });
    for (const std::string line : { "GET /204", "HEAD /stream", "HEAD /whole" }) {
        boost::asio::ip::tcp::socket socket(m_io);
        socket.connect({ boost::asio::ip::make_address(endpoint.host), endpoint.port });
        const std::string text = line
            + " HTTP/1.1\r\nHost: a\r\n\r\nGET /204 HTTP/1.1\r\n"
              "Host: a\r\nConnection: close\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(text));
        std::string answers;
        boost::asio::async_read(
            socket, boost::asio::dynamic_buffer(answers),
            [this](const boost::system::error_code &, std::size_t) { m_io.stop(); });
        m_io.restart();
        m_io.run();
        const std::size_t end = answers.find("\r\n\r\n");
        ASSERT_NE(end, std::string::npos) << line << ": " << answers;
        EXPECT_TRUE(answers.substr(end + 4).starts_with("HTTP/1.1 204")) << line << ": " << answers;
    }
}

/// Accepts one connection, answers its first request with these bytes, the interim ones some time
/// before the others, and its second request with the last ones.
Task<void> answerTwice(boost::asio::ip::tcp::acceptor &acceptor, std::string interim,
                       std::string first, std::string second)
{
    using boost::asio::use_awaitable;
    auto socket = co_await acceptor.async_accept(use_awaitable);
    for (const std::string &bytes : { first, second }) {
        std::string request;
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request),
                                               "\r\n\r\n", use_awaitable);
        if (!interim.empty()) {
            co_await boost::asio::async_write(socket, boost::asio::buffer(interim), use_awaitable);
            co_await sleepFor(std::chrono::milliseconds(20));
            interim.clear();
        }
        co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), use_awaitable);
    }
}

// Guards against an interim response that is taken for the answer: the answer behind it is then
// read as that of the next call on the connection.
TEST_F(HttpTest, AnInterimResponseIsNotTheAnswer)
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    for (const std::string interim :
         { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" }) {
        boost::asio::ip::tcp::acceptor acceptor(m_io,
                                                { boost::asio::ip::make_address("127.0.0.1"), 0 });
        boost::asio::co_spawn(m_io, answerTwice(acceptor, interim, ok + "first", ok + "other"),
                              boost::asio::detached);
        const Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
        for (const char *body : { "first", "other" }) {
            const auto response = fetch(endpoint, HttpRequest { "GET", "/", {}, "" });
            ASSERT_TRUE(response.has_value()) << response.error().message;
            EXPECT_EQ(response->status, 200);
            EXPECT_EQ(response->body, body);
        }
    }
}

TEST_F(HttpTest, ASwitchOfProtocolsThatNobodyAskedForIsNoAnswer)
{
    boost::asio::ip::tcp::acceptor acceptor(m_io,
                                            { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const std::string switched = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::asio::co_spawn(m_io, answerTwice(acceptor, "", switched, ""), boost::asio::detached);
    const Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
    EXPECT_FALSE(fetch(endpoint, HttpRequest { "GET", "/", {}, "" }).has_value());
}

TEST(EndpointTest, ParsesIpAddressesOnly)
{
    EXPECT_EQ(Endpoint::parse("127.0.0.1:80")->port, 80);
    EXPECT_EQ(Endpoint::parse("[::1]:80")->toString(), "[::1]:80");
    for (const auto *bad : { "localhost:80", "127.0.0.1", "127.0.0.1:x", ":80" })
        EXPECT_FALSE(Endpoint::parse(bad).has_value()) << bad;
}

} // namespace
} // namespace snipestall::wire
