// Tests of answers that have no body by definition, over the whole path on loopback.

#include "cut_instance.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using wire::Task;

class BodylessAnswerTest : public WithCutInstance<GatewayPathTest>
{
protected:
    static std::string requestText(const std::string &line, const std::string &attempt,
                                   const std::string &more)
    {
        return line + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer secret\r\n" + more + "\r\n";
    }

    /// Sends the request and another one behind it; returns all that comes back.
    Task<std::string> fetchBoth(wire::Endpoint address, std::string line)
    {
        tcp::socket socket(m_io);
        socket.connect({ boost::asio::ip::make_address(address.host), address.port });
        const std::string text = requestText(line, "first", "")
            + requestText("GET /nowhere", "second", "Connection: close\r\n");
        co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                          boost::asio::as_tuple(boost::asio::use_awaitable));
        std::string answers;
        co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(answers),
                                         boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return answers;
    }

    /// Expects that the next answer stands right behind the head of the first one.
    static void expectHeadOnly(const std::string &answers, const std::string &status,
                               const std::string &what)
    {
        const std::size_t end = answers.find("\r\n\r\n");
        ASSERT_NE(end, std::string::npos) << what << ": " << answers;
        const std::string head = answers.substr(0, end + 2);
        EXPECT_TRUE(head.starts_with("HTTP/1.1 " + status + " ")) << what << ": " << head;
        EXPECT_EQ(head.find("Transfer-Encoding"), std::string::npos) << what << ": " << head;
        if (status != "200") {
            EXPECT_EQ(head.find("Content-Length"), std::string::npos) << what << ": " << head;
        }
        EXPECT_NE(head.find("X-Server-Seal"), std::string::npos) << what << ": " << head;
        EXPECT_TRUE(answers.substr(end + 4).starts_with("HTTP/1.1 404 "))
            << what << ": " << answers;
    }

    Task<void> expectHeadsOnly(wire::Endpoint address)
    {
        const std::vector<std::pair<TestBackend::Behaviour, std::string>> cases {
            { TestBackend::Behaviour::NoContent, "204" },
            { TestBackend::Behaviour::NotModified, "304" },
            { TestBackend::Behaviour::StreamRest, "200" },
            { TestBackend::Behaviour::NoEvents, "200" },
            { TestBackend::Behaviour::PlainText, "200" },
        };
        for (const auto &[behaviour, status] : cases) {
            m_first.behave(behaviour);
            m_second.behave(behaviour);
            for (const std::string path : { "/again/x", "/solo/x", "/safe/x", "/once/x" }) {
                for (const std::string method : { "GET", "POST", "HEAD" }) {
                    if (status == "200" && method != "HEAD")
                        continue;
                    const std::string line = method + " " + path;
                    expectHeadOnly(co_await fetchBoth(address, line), status, line + " " + status);
                }
            }
        }
    }
};

// Guards against bytes behind an answer without a body, which stand before the next answer on the
// caller's connection: the end of a chunked body, because the route is one of streams.
TEST_F(BodylessAnswerTest, NothingStandsBehindTheHead)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        co_await expectHeadsOnly(m_callers);
    });
}

// Guards against the same behind an answer that another instance has passed on.
TEST_F(BodylessAnswerTest, NothingStandsBehindTheHeadOfAForwardedAnswer)
{
    publish();
    startCut({ &m_first, &m_second });
    run([this]() -> Task<void> {
        co_await untilServing();
        co_await untilServing(m_cut.metrics, 2);
        co_await wire::sleepFor(2s);
        cut(TestLink::Cut::Refuse);
        while (!co_await hasMetric("snipestall_gateway_cut_off 1"))
            co_await fetch(m_cut.callers, "/safe/x");
        co_await expectHeadsOnly(m_cut.callers);
    });
}

} // namespace
} // namespace snipestall::gateway
