// Tests of bytes without end in each part of a message that is neither head nor body, from callers
// and from servers, over the whole path on loopback.

#include "gateway_fixture.hpp"
#include "raw_backend.hpp"
#include "raw_caller.hpp"

#include <chrono>
#include <string>

namespace snipestall::gateway {
namespace {

using wire::Task;
using End = RawBackend::End;

/// What a gateway may read of such bytes, with what the kernel holds on the way.
constexpr std::size_t MostBytesRead = 16 * 1024 * 1024;
/// Far less than the deadline of the requests.
constexpr std::chrono::seconds Soon { 2 };
/// More than the container of a head takes in one field.
constexpr std::size_t LongField = 70000;

constexpr auto ChunkedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";

/// One server that writes what a test says, one that works, and callers that write what a test
/// says.
class UnboundedMessageTest : public GatewayPathTest
{
protected:
    UnboundedMessageTest()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry());
        m_store.put({ "servers", "", m_second.id() }, m_second.entry());
    }

    /// Has the raw server write these bytes, and expects that the other one answers soon.
    void expectServedElsewhere(RawBackend::Script script)
    {
        m_raw.play(std::move(script));
        run([this]() -> Task<void> {
            co_await untilServing();
            wire::HttpResponse response;
            std::chrono::steady_clock::duration took {};
            do {
                const auto sentAt = std::chrono::steady_clock::now();
                response = co_await fetch(m_callers, "/safe/x");
                took = std::chrono::steady_clock::now() - sentAt;
            } while (m_raw.requests() == 0);
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.fields.find("X-Server-Seal"), "seal-i-2");
            EXPECT_LT(took, Soon);
            EXPECT_LE(m_raw.filler(), MostBytesRead);
        });
    }

    static std::string callerHead()
    {
        return "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: raw-1\r\n"
               "Authorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /// Has a caller write these bytes, and expects that it is answered with this status line at
    /// once, and that the gateway serves others afterwards.
    void expectRefused(const RawRequest &request, const std::string &statusLine)
    {
        run([this, request, statusLine]() -> Task<void> {
            co_await untilServing();
            const RawExchange exchange = co_await exchangeRaw(m_callers, request);
            EXPECT_EQ(exchange.answer.substr(0, statusLine.size()), statusLine);
            EXPECT_TRUE(exchange.closed);
            EXPECT_LE(exchange.filler, MostBytesRead);
            const wire::HttpResponse next = co_await fetch(m_callers, "/once/x");
            EXPECT_NE(next.status, 0);
        });
        for (const wire::HttpRequest &ran : m_second.ran())
            EXPECT_NE(ran.fields.find("X-Attempt-Id"), "raw-1");
    }

    RawBackend m_raw { m_io, "i-1" };
};

// Guards against a chunk's extension without end that is read until the memory is full.
TEST_F(UnboundedMessageTest, AServersChunkExtensionWithoutEndIsGivenUp)
{
    expectServedElsewhere(
        { std::string(ChunkedHead) + "5;a=", End::Endless, std::string(4096, 'z') });
}

TEST_F(UnboundedMessageTest, ACallersChunkExtensionWithoutEndIsRefused)
{
    expectRefused({ callerHead() + "5;a=", std::string(4096, 'z') }, "HTTP/1.1 431");
}

// Guards against a trailer field without end: first the memory, then the whole process.
TEST_F(UnboundedMessageTest, AServersTrailerFieldWithoutEndIsGivenUp)
{
    expectServedElsewhere({ std::string(ChunkedHead) + "5\r\nhello\r\n0\r\nX-A: ", End::Endless,
                            std::string(4096, 'z') });
}

TEST_F(UnboundedMessageTest, ACallersTrailerFieldWithoutEndIsRefused)
{
    expectRefused({ callerHead() + "5\r\nhello\r\n0\r\nX-A: ", std::string(4096, 'z') },
                  "HTTP/1.1 431");
}

// Guards against one message that ends the process with every request on it: a trailer field that
// is complete, and longer than the container of a head can hold.
TEST_F(UnboundedMessageTest, AServersLongTrailerFieldIsGivenUp)
{
    expectServedElsewhere({ std::string(ChunkedHead) + "5\r\nhello\r\n0\r\nX-A: "
                                + std::string(LongField, 'z') + "\r\n\r\n",
                            End::Close, "" });
}

TEST_F(UnboundedMessageTest, ACallersLongTrailerFieldIsRefused)
{
    expectRefused(
        { callerHead() + "5\r\nhello\r\n0\r\nX-A: " + std::string(LongField, 'z') + "\r\n\r\n",
          "" },
        "HTTP/1.1 431");
}

// Guards against many small trailer fields, which used to be kept as fields of the head.
TEST_F(UnboundedMessageTest, AServersTrailerSectionWithoutEndIsGivenUp)
{
    expectServedElsewhere({ std::string(ChunkedHead) + "5\r\nhello\r\n0\r\n", End::Endless,
                            "X-Filler: 0123456789abcdef\r\n" });
}

TEST_F(UnboundedMessageTest, ACallersTrailerSectionWithoutEndIsRefused)
{
    expectRefused({ callerHead() + "5\r\nhello\r\n0\r\n", "X-Filler: 0123456789abcdef\r\n" },
                  "HTTP/1.1 431");
}

// Guards against chunks without end that hold next to nothing of a body.
TEST_F(UnboundedMessageTest, AServersTinyChunksWithLongExtensionsAreGivenUp)
{
    expectServedElsewhere(
        { std::string(ChunkedHead), End::Endless, "1;a=" + std::string(4000, 'z') + "\r\nx\r\n" });
}

TEST_F(UnboundedMessageTest, ACallersTinyChunksWithLongExtensionsAreRefused)
{
    expectRefused({ callerHead(), "1;a=" + std::string(4000, 'z') + "\r\nx\r\n" }, "HTTP/1.1 431");
}

// Guards against trailer fields that pass for fields of the head: a name of a customer, a host or a
// key that was checked for the head alone.
TEST_F(UnboundedMessageTest, ACallersTrailerFieldsAreDropped)
{
    m_store.remove({ "servers", "", m_raw.id() });
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 1);
        std::string head = callerHead();
        head.insert(head.size() - 2, "Connection: close\r\n");
        const RawRequest request { head
                                       + "5;a=b\r\nhello\r\n0\r\nX-Late: 1\r\n"
                                         "X-Tenant-Name: other\r\n\r\n",
                                   "" };
        const RawExchange exchange = co_await exchangeRaw(m_callers, request);
        EXPECT_EQ(exchange.answer.substr(0, 12), "HTTP/1.1 200");
    });
    ASSERT_EQ(m_second.ran().size(), 1U);
    const wire::HttpRequest &ran = m_second.ran().front();
    EXPECT_EQ(ran.body, "hello");
    EXPECT_EQ(ran.fields.find("X-Late"), std::nullopt);
    EXPECT_EQ(ran.fields.find("X-Tenant-Name"), "harbour");
}

TEST_F(UnboundedMessageTest, AServersTrailerFieldsAreDropped)
{
    m_raw.play({ std::string(ChunkedHead)
                     + "5;a=b\r\nhello\r\n0\r\nX-Late: 1\r\nX-Attempt-Id: other\r\n\r\n",
                 End::Close, "" });
    m_store.remove({ "servers", "", m_second.id() });
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 1);
        const wire::HttpResponse response = co_await fetch(m_callers, "/safe/x");
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "hello");
        EXPECT_EQ(response.fields.find("X-Late"), std::nullopt);
    });
}

} // namespace
} // namespace snipestall::gateway
