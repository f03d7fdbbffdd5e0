// Whole messages of callers and servers with random faults, over the whole path on loopback. The
// seed is fixed; SNIPESTALL_FUZZ_SECONDS=300 plays other seeds for that long by hand.

#include "gateway_fixture.hpp"
#include "raw_backend.hpp"
#include "raw_caller.hpp"

#include "snipestall/wire/mutate_message.hpp"

#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>

namespace snipestall::gateway {
namespace {

using wire::Task;

constexpr std::uint64_t FirstSeed = 961;
constexpr int MessagesPerRound = 100;
/// Far above what the connections of a round need, and far below what one message took without
/// limits.
constexpr std::size_t MostGrowth = std::size_t { 64 } * 1024 * 1024;

constexpr std::array<const char *, 4> CallerMessages {
    "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: f@N\r\nX-Deadline-Ms: 500\r\n"
    "Authorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;a=b;c=\"d\\\"e\"\r\nhello\r\n0a\r\n0123456789\r\n0;z\r\nX-A: 1\r\nX-B: 2\r\n\r\n",
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: f@N\r\nX-Deadline-Ms: 500\r\n"
    "Authorization: Bearer secret\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhello",
    "GET /again/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: f@N\r\nX-Deadline-Ms: 500\r\n"
    "Authorization: Bearer secret\r\nConnection: keep-alive, X-A\r\nX-A: 1\r\n"
    "X-Model-Name: m\r\nX-Token-Count: 10,5\r\nX-Prompt-Prefix: a:5,b:5\r\n"
    "Last-Event-Id: 3\r\n\r\n",
    "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: f@N\r\n\r\n"
    "GET /safe/y HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: g@N\r\n\r\n",
};

constexpr std::array<const char *, 5> ServerMessages {
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\nTransfer-Encoding: chunked\r\n"
    "Keep-Alive: timeout=5\r\n\r\n5;a=b\r\nhello\r\n3\r\nabc\r\n0;z\r\nX-A: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\nContent-Length: 5\r\n"
    "Server-Limit: 5\r\nServer-Leaving: 1\r\nConnection: close, X-A\r\nX-A: 1\r\n\r\nhello",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n"
    "\r\nokHTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\n\r\nto the end",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "10\r\nid: 1\ndata: x\n\n\n\r\n10\r\nid: 2\ndata: y\n\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nX-Attempt-Id: @ID\r\nX-Not-Executed: 1\r\nRetry-After: 0.5\r\n"
    "Content-Length: 4\r\n\r\nfull",
};

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

class MessageFuzzTest : public GatewayPathTest
{
protected:
    MessageFuzzTest()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        m_store.put({ "servers", "", m_raw.id() }, m_raw.entry());
        m_store.put({ "servers", "", m_second.id() }, m_second.entry());
    }

    Task<void> sendCallerMessages(std::uint64_t seed)
    {
        Random random(seed);
        for (int i = 0; i < MessagesPerRound; ++i) {
            RawRequest request;
            request.endAfter = true;
            request.bytes =
                wire::mutateMessage(CallerMessages.at(random.below(CallerMessages.size())), random);
            const RawExchange exchange = co_await exchangeRaw(m_callers, request);
            EXPECT_TRUE(exchange.closed) << "seed " << seed << ", message " << i;
        }
    }

    Task<void> playServerMessages(std::uint64_t seed)
    {
        Random random(seed);
        for (int i = 0; i < MessagesPerRound; ++i) {
            m_raw.play({ wire::mutateMessage(ServerMessages.at(random.below(ServerMessages.size())),
                                             random),
                         RawBackend::End::Close, "" });
            // The server may have been taken out after an answer that it broke off.
            m_store.put({ "servers", "", m_raw.id() }, m_raw.entry(++m_incarnation));
            co_await fetch(m_callers, "/again/x", "POST");
            const RawRequest request { "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: s"
                                           + std::to_string(i)
                                           + "\r\nX-Deadline-Ms: 5000\r\n"
                                             "Authorization: Bearer secret\r\n"
                                             "Connection: close\r\n\r\n",
                                       "" };
            const RawExchange exchange = co_await exchangeRaw(m_callers, request);
            EXPECT_TRUE(exchange.closed) << "seed " << seed << ", message " << i;
            EXPECT_EQ(exchange.answer.substr(0, 9), "HTTP/1.1 ")
                << "seed " << seed << ", message " << i;
        }
    }

    /// Plays both kinds with this seed and expects that the gateway still serves.
    void play(std::uint64_t seed)
    {
        const std::size_t before = residentBytes();
        run([this, seed]() -> Task<void> {
            co_await untilServing();
            co_await sendCallerMessages(seed);
            co_await playServerMessages(seed);
            m_raw.play({ "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nContent-Length: 2\r\n\r\nok",
                         RawBackend::End::Close, "" });
            const wire::HttpResponse after = co_await fetch(m_callers, "/safe/x");
            EXPECT_EQ(after.status, 200) << "seed " << seed;
        });
        EXPECT_LE(residentBytes(), before + MostGrowth) << "seed " << seed;
    }

    RawBackend m_raw { m_io, "i-1" };
    int m_incarnation = 1;
};

// Guards against any message of a caller or a server that ends the process, is never answered or
// closed, or fills the memory.
TEST_F(MessageFuzzTest, MutatedMessagesAreAnsweredOrClosed)
{
    const char *seconds = std::getenv("SNIPESTALL_FUZZ_SECONDS");
    const auto until = std::chrono::steady_clock::now()
        + std::chrono::seconds(seconds == nullptr ? 0 : std::atoi(seconds));
    std::uint64_t seed = FirstSeed;
    do {
        play(seed++);
    } while (std::chrono::steady_clock::now() < until && !HasFailure());
    RecordProperty("seeds", static_cast<int>(seed - FirstSeed));
}

} // namespace
} // namespace snipestall::gateway
