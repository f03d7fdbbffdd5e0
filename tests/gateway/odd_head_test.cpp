// Tests of answers whose head is broken off or malformed, over the whole path on loopback.

#include "gateway_fixture.hpp"
#include "raw_backend.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::string_literals;
using wire::HttpResponse;
using wire::Task;
using End = RawBackend::End;

const std::string Whole = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n"
                          "Content-Length: 4\r\n\r\nbody";

/// An answer with another status line.
std::string withStatusLine(const std::string &line)
{
    return line + Whole.substr(Whole.find("\r\n"));
}

/// An answer with a line behind the seal.
std::string withLine(const std::string &line)
{
    constexpr std::string_view Seal = "X-Server-Seal: raw\r\n";
    std::string text = Whole;
    text.insert(text.find(Seal) + Seal.size(), line + "\r\n");
    return text;
}

/// One server that writes what a test says, and one that works.
class OddHeadTest : public GatewayPathTest
{
protected:
    OddHeadTest()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        m_store.put({ "servers", "", m_second.id() }, m_second.entry());
    }

    /// Expects that a caller, and an instance that forwards, get nothing of this answer: another
    /// server answers if the request may be repeated, and 502 follows otherwise.
    void expectFailure(const RawBackend::Script &script)
    {
        m_raw.play(script);
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry(++m_incarnation));
        run([this]() -> Task<void> {
            co_await untilServing();
            for (const wire::Endpoint &entry : { m_callers, forwardPort() }) {
                const HttpResponse repeated = co_await fetchFromRaw(entry, "/safe/x");
                EXPECT_EQ(repeated.status, 200);
                EXPECT_EQ(repeated.fields.find("X-Server-Seal"), "seal-i-2");
                EXPECT_EQ(repeated.body, "answer of i-2");
                const HttpResponse failed = co_await fetchFromRaw(entry, "/once/x");
                EXPECT_EQ(failed.status, 502);
                EXPECT_FALSE(failed.fields.find("X-Server-Seal"));
            }
        });
    }

    [[nodiscard]] wire::Endpoint forwardPort() const
    {
        return { "127.0.0.1", m_settings.forwardPort };
    }

    /// Returns the answer to the first request that got what the script ends with.
    Task<HttpResponse> fetchFromRaw(wire::Endpoint entry, std::string target)
    {
        const int before = m_raw.requests();
        // A server that loses answers is avoided, a new incarnation of it is not.
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry(++m_incarnation));
        HttpResponse response;
        do {
            wire::HttpRequest request;
            request.method = "POST";
            request.target = target;
            request.fields.set("Host", "a.example");
            request.fields.set("X-Attempt-Id", "odd-" + std::to_string(++m_attempts));
            request.fields.set("X-Deadline-Ms", "5000");
            request.fields.set("Authorization", "Bearer secret");
            request.fields.set("Snipestall-Config-Version", "3");
            request.fields.set("Snipestall-Runs", "2");
            request.fields.set("Snipestall-Sends", "5");
            const auto answer = co_await m_client.fetch(entry, std::move(request));
            response = answer.value_or(HttpResponse { 0, {}, {} });
        } while (m_raw.requests() == before);
        co_return response;
    }

    RawBackend m_raw { m_io, "i-1" };
    int m_incarnation = 1;
};

// Guards against an answer that stops in its head and reaches the caller as a whole one with an
// empty or short body.
TEST_F(OddHeadTest, AnAnswerThatStopsInItsHeadIsAFailure)
{
    const std::string head = Whole.substr(0, Whole.size() - 4);
    const std::vector<std::size_t> sizes {
        1, 12, 17, head.size() / 2, head.size() - 4, head.size() - 2, head.size() - 1
    };
    for (const std::size_t size : sizes) {
        for (const End end : { End::Close, End::Reset }) {
            for (const std::string &interim : { ""s, "HTTP/1.1 100 Continue\r\n\r\n"s }) {
                SCOPED_TRACE(interim + head.substr(0, size));
                expectFailure({ interim + head.substr(0, size), end, "" });
            }
        }
    }
}

// Guards against the same on a connection that has carried an answer before.
TEST_F(OddHeadTest, AnAnswerThatStopsInItsHeadOnAReusedConnectionIsAFailure)
{
    const std::string head = Whole.substr(0, Whole.size() - 4);
    for (const std::size_t size : { std::size_t(12), head.size() / 2, head.size() - 2 }) {
        RawBackend::Script script { head.substr(0, size), End::Close, "" };
        script.firstAnswer = Whole;
        expectFailure(script);
    }
}

// Guards against an answer with a status that is none and that reaches the caller, or lets the head
// behind it pass for the answer.
TEST_F(OddHeadTest, AnAnswerWithoutAProperStatusIsAFailure)
{
    for (const char *line :
         { "HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 00 OK",
           "HTTP/1.1 2000 OK", "HTTP/1.1  ", "HTTP/1.1 101 Switching Protocols" }) {
        SCOPED_TRACE(line);
        expectFailure({ withStatusLine(line), End::Close, "" });
        expectFailure({ line + "\r\n\r\n"s + Whole, End::Close, "" });
        expectFailure({ line + "\r\nX-Attempt-Id: @ID\r\n\r\n"s + Whole, End::Close, "" });
    }
}

// Guards against an answer with a malformed line in its head that reaches the caller, with that
// line, with a changed seal, or with a body that is not the server's.
TEST_F(OddHeadTest, AnAnswerWithAMalformedLineInItsHeadIsAFailure)
{
    for (const std::string &line :
         { "X-Odd Name: 1"s, "X-Odd : 1"s, "X-Odd\t: 1"s, "X-\x01Odd: 1"s, "X-Odd\0: 1"s,
           "X-Odd\x7f: 1"s, "no colon"s, " X-Odd: 1"s, "\tX-Odd: 1"s, "Content-Length : 2"s,
           "Transfer-Encoding\x01: chunked"s }) {
        SCOPED_TRACE(line);
        expectFailure({ withLine(line), End::Close, "" });
    }
}

} // namespace
} // namespace snipestall::gateway
