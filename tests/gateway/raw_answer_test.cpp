// Tests of answers that end with their connection, and of bytes without end that are no answer,
// over the whole path on loopback.

#include "gateway_fixture.hpp"
#include "raw_backend.hpp"

#include <chrono>
#include <string>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;
using End = RawBackend::End;

constexpr auto PlainHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n\r\n";
constexpr auto StreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n"
                            "Content-Type: text/event-stream\r\n\r\n";
/// What a gateway may read of bytes that are no answer, with what the kernel holds on the way.
constexpr std::size_t MostBytesRead = 16 * 1024 * 1024;
/// Far less than the deadline of the requests.
constexpr std::chrono::seconds Soon { 2 };

/// One server that writes what a test says, and one that works. Requests are sent until the first
/// one has got some.
class RawAnswerTest : public GatewayPathTest
{
protected:
    RawAnswerTest()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry());
        m_store.put({ "servers", "", m_second.id() }, m_second.entry());
        m_second.behave(TestBackend::Behaviour::StreamRest);
    }

    /// Returns the answer of the first request that reached the raw server.
    Task<wire::HttpResponse> fetchFromRaw(std::string target, std::string method)
    {
        co_await untilServing();
        wire::HttpResponse response;
        do {
            m_sentAt = std::chrono::steady_clock::now();
            response = co_await fetch(m_callers, target, method);
            m_took = std::chrono::steady_clock::now() - m_sentAt;
        } while (m_raw.requests() == 0);
        co_return response;
    }

    /// Has the raw server write bytes without end, and expects that the other one answers soon.
    void expectServedElsewhere(RawBackend::Script script, const std::string &target,
                               const std::string &method)
    {
        m_raw.play(std::move(script));
        run([this, target, method]() -> Task<void> {
            const wire::HttpResponse response = co_await fetchFromRaw(target, method);
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.fields.find("X-Server-Seal"), "seal-i-2");
            EXPECT_LT(m_took, Soon);
            EXPECT_LE(m_raw.filler(), MostBytesRead);
        });
    }

    RawBackend m_raw { m_io, "i-1" };
    int m_incarnation = 1;
    std::chrono::steady_clock::time_point m_sentAt;
    std::chrono::steady_clock::duration m_took {};
};

// An answer with neither a length nor chunks is complete when its connection is closed.
TEST_F(RawAnswerTest, AnAnswerThatEndsWithItsConnectionIsPassedOn)
{
    m_raw.play({ std::string(PlainHead) + "the whole body", End::Close, "" });
    run([this]() -> Task<void> {
        const wire::HttpResponse response = co_await fetchFromRaw("/safe/x", "GET");
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "the whole body");
        EXPECT_EQ(response.fields.find("X-Server-Seal"), "raw");
    });
}

// The same at the port for instances that forward requests. What they get says where it ends.
TEST_F(RawAnswerTest, AnAnswerThatEndsWithItsConnectionIsPassedOnToAnInstance)
{
    for (const End end : { End::Close, End::Reset }) {
        const int before = m_raw.requests();
        m_raw.play({ std::string(PlainHead) + "the body", end, "" });
        run([this, end, before]() -> Task<void> {
            co_await untilServing();
            wire::HttpRequest request;
            request.target = "/safe/x";
            request.fields.set("Host", "a.example");
            request.fields.set("X-Attempt-Id", "forwarded-" + std::to_string(before));
            request.fields.set("Authorization", "Bearer secret");
            request.fields.set("Snipestall-Config-Version", "3");
            request.fields.set("Snipestall-Runs", "2");
            request.fields.set("Snipestall-Sends", "5");
            const wire::Endpoint instances { "127.0.0.1", m_settings.forwardPort };
            wire::HttpResponse response;
            do {
                response = *co_await m_client.fetch(instances, request);
            } while (m_raw.requests() == before);
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.body == "the body", end == End::Close);
            EXPECT_EQ(response.fields.find("Content-Length"), std::to_string(response.body.size()));
            EXPECT_EQ(response.fields.find("Snipestall-Runs"), end == End::Close ? "1" : "2");
        });
    }
}

// Guards against half a body that is passed on as a whole one: the connection was reset.
TEST_F(RawAnswerTest, AnAnswerWhoseConnectionIsResetIsNotComplete)
{
    m_raw.play({ std::string(PlainHead) + "half a bo", End::Reset, "" });
    run([this]() -> Task<void> {
        const wire::HttpResponse response = co_await fetchFromRaw("/safe/x", "GET");
        EXPECT_NE(response.body.substr(0, 4), "half");
        EXPECT_EQ(response.fields.find("X-Server-Seal"), "seal-i-2");
    });
}

TEST_F(RawAnswerTest, AStreamThatEndsWithItsConnectionIsComplete)
{
    m_raw.play(
        { std::string(StreamHead) + "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", End::Close, "" });
    run([this]() -> Task<void> {
        const wire::HttpResponse response = co_await fetchFromRaw("/again/x", "POST");
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    });
}

// Guards against a stream that passes for a whole one though it ended inside an event: it has been
// broken off and goes on at the other server.
TEST_F(RawAnswerTest, AStreamThatEndsInsideAnEventGoesOnElsewhere)
{
    m_raw.play({ std::string(StreamHead) + "id: 1\ndata: x\n\nid: 2\nda", End::Close, "" });
    run([this]() -> Task<void> {
        const wire::HttpResponse response = co_await fetchFromRaw("/again/x", "POST");
        EXPECT_EQ(response.status, 200);
        for (int event = 1; event <= TestBackend::AllEvents; ++event)
            EXPECT_NE(response.body.find("id: " + std::to_string(event) + "\n"), std::string::npos);
    });
}

// Guards against a request that hangs until its deadline, while bytes that are no answer come
// without end: in a head, in interim heads, in an answer to another request, and in one event.
TEST_F(RawAnswerTest, AHeadWithoutEndIsGivenUp)
{
    expectServedElsewhere({ "HTTP/1.1 200 OK\r\n", End::Endless, "X-Filler: 0123456789abcdef\r\n" },
                          "/safe/x", "GET");
}

TEST_F(RawAnswerTest, BytesThatAreNoHeadAreGivenUp)
{
    expectServedElsewhere({ "", End::Endless, std::string(4096, 'z') }, "/safe/x", "GET");
}

TEST_F(RawAnswerTest, InterimHeadsWithoutEndAreGivenUp)
{
    expectServedElsewhere({ "", End::Endless, "HTTP/1.1 100 Continue\r\n\r\n" }, "/safe/x", "GET");
}

TEST_F(RawAnswerTest, AnAnswerToAnotherRequestWithoutEndIsGivenUp)
{
    expectServedElsewhere({ "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n",
                            End::Endless, "1000\r\n" + std::string(4096, 'z') + "\r\n" },
                          "/safe/x", "GET");
}

TEST_F(RawAnswerTest, AnEventWithoutEndIsGivenUp)
{
    expectServedElsewhere(
        { std::string(StreamHead) + "data: ", End::Endless, std::string(4096, 'z') }, "/again/x",
        "POST");
}

// Guards against requests to a server that has said that it leaves in an answer that nobody waits
// for, or in one that then breaks off.
TEST_F(RawAnswerTest, AnyAnswerThatIsReadMaySayThatItsServerLeaves)
{
    const std::string other = "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nServer-Leaving: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
    const std::string brokenOff = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nServer-Leaving: 1\r\n"
                                  "Content-Length: 100\r\n\r\npart";
    for (const std::string &bytes : { other + PlainHead + "body", brokenOff }) {
        SCOPED_TRACE(bytes);
        m_raw.play({ bytes, End::Close, "" });
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry(++m_incarnation));
        run([this]() -> Task<void> {
            const int before = m_raw.requests();
            co_await untilServing();
            while (m_raw.requests() == before)
                co_await fetch(m_callers, "/safe/x");
            for (int i = 0; i < 30; ++i)
                co_await fetch(m_callers, "/safe/x");
            EXPECT_EQ(m_raw.requests(), before + 1);
        });
    }
}

// Guards against a server in need that gets as many requests as before, because the answer that
// named its limit was one that nobody waited for.
TEST_F(RawAnswerTest, AnyAnswerThatIsReadMayNameALimit)
{
    m_raw.play({ "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nServer-Limit: 1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 End::Close, "" });
    run([this]() -> Task<void> {
        co_await fetchFromRaw("/safe/x", "GET");
        co_await untilMetric(m_metrics, "snipestall_gateway_limited_servers", 1);
    });
}

} // namespace
} // namespace snipestall::gateway
