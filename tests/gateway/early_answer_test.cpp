// Tests of answers that begin before their server has read the request, over the whole path on
// loopback.

#include "gateway_fixture.hpp"
#include "raw_backend.hpp"

#include <chrono>
#include <string>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::HttpResponse;
using wire::Task;
using End = RawBackend::End;

/// More than the kernel takes in of a request that its server doesn't read.
constexpr std::size_t UploadBytes = std::size_t(4) * 1024 * 1024;
constexpr int ReceiveBuffer = 4096;
constexpr auto Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n";
constexpr auto Event = "id: 1\ndata: x\n\n";

/// A server that answers without having read the request, and one that works.
class EarlyAnswerTest : public GatewayPathTest
{
protected:
    EarlyAnswerTest()
    {
        m_raw.limitReceived(ReceiveBuffer);
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry());
        m_store.put({ "servers", "", m_second.id() }, m_second.entry());
    }

    /// Sends a long request until one has reached the raw server, and returns the answer to that.
    Task<HttpResponse> upload(std::string target)
    {
        const int before = m_raw.requests();
        HttpResponse response;
        do {
            wire::HttpRequest request;
            request.method = "POST";
            request.target = target;
            request.fields.set("Host", "a.example");
            request.fields.set("X-Attempt-Id", "upload-" + std::to_string(++m_uploads));
            request.fields.set("X-Deadline-Ms", "5000");
            request.fields.set("Authorization", "Bearer secret");
            request.body = std::string(UploadBytes, 'u');
            const auto answer = co_await m_client.fetch(m_callers, std::move(request));
            response = answer.value_or(HttpResponse { 0, {}, {} });
        } while (m_raw.requests() == before);
        co_return response;
    }

    /// Has the server send a head without a length and a part of the body, and close or reset the
    /// connection after several pauses. Expects that the part is never the whole answer.
    void expectNotWhole(const std::string &fields, const std::string &part,
                        const std::string &target)
    {
        const std::string bytes = std::string(Head) + fields + "\r\n" + part;
        run([this, bytes, part, target]() -> Task<void> {
            co_await untilServing();
            for (const End end : { End::Reset, End::Close }) {
                for (const auto pause : { 0ms, 20ms, 200ms }) {
                    RawBackend::Script script { bytes, end, "" };
                    script.beforeEnd = pause;
                    m_raw.play(script);
                    // A new incarnation, because a server that loses answers is avoided.
                    m_store.put({ "servers", "", m_raw.id() }, m_raw.entry(++m_incarnation));
                    const HttpResponse response = co_await upload(target);
                    EXPECT_FALSE(response.status == 200 && response.body == part)
                        << target << " after " << pause.count() << " ms";
                }
            }
        });
    }

    RawBackend m_raw { m_io, "i-1" };
    int m_uploads = 0;
    int m_incarnation = 1;
};

// Guard against a part of an answer that passes for a whole one: its server reset the connection
// while the request was being written, and the write took the error that the read should have got.
TEST_F(EarlyAnswerTest, AnAnswerThatIsResetBesideAnUploadIsNotComplete)
{
    for (const char *target : { "/once/x", "/safe/x" })
        expectNotWhole("", "half an answ", target);
}

TEST_F(EarlyAnswerTest, AnEmptyAnswerThatIsResetBesideAnUploadIsNotComplete)
{
    for (const char *target : { "/once/x", "/safe/x", "/solo/x" })
        expectNotWhole("", "", target);
}

TEST_F(EarlyAnswerTest, AStreamThatIsResetBesideAnUploadIsNotComplete)
{
    for (const char *target : { "/solo/x", "/again/x" }) {
        m_second.behave(TestBackend::Behaviour::StreamRest);
        expectNotWhole("Content-Type: text/event-stream\r\n", Event, target);
    }
}

// Guards against a sound answer that is taken for a broken one because its server reads the rest of
// a long request only after it.
TEST_F(EarlyAnswerTest, AnAnswerOfAServerThatReadsOnIsComplete)
{
    for (const char *framing : { "Content-Length: 4\r\n", "" }) {
        run([this, framing]() -> Task<void> {
            co_await untilServing();
            RawBackend::Script script { std::string(Head) + framing + "\r\nbody", End::ReadOn, "" };
            script.beforeEnd = 50ms;
            m_raw.play(script);
            const HttpResponse response = co_await upload("/once/x");
            EXPECT_EQ(response.status, 200) << framing;
            EXPECT_EQ(response.body, "body");
            EXPECT_EQ(response.fields.find("X-Server-Seal"), "raw");
        });
    }
}

} // namespace
} // namespace snipestall::gateway
