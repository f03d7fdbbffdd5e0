// Tests of sound servers that neither read nor write for about a second, over the whole path on
// loopback.

#include "gateway_fixture.hpp"
#include "raw_backend.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;
using End = RawBackend::End;

constexpr auto PlainHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n\r\n";
constexpr auto StreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @ID\r\nX-Server-Seal: raw\r\n"
                            "Content-Type: text/event-stream\r\n\r\n";
/// Longer than an attempt waits before its server counts as silent, and far less than the callers
/// wait.
constexpr std::chrono::milliseconds Silence { 1200 };

class SilentServerTest : public GatewayPathTest
{
protected:
    /// The first server is silent; the second one works or is silent as well.
    void listServers(platform::StandinStore &store, bool secondSilent)
    {
        store.put({ "op", "", "config" }, GatewayTestConfig);
        store.put({ "servers", "", m_silent.id() }, m_silent.entry());
        store.put({ "servers", "", "i-2" }, secondSilent ? m_alsoSilent.entry() : m_second.entry());
        m_second.behave(TestBackend::Behaviour::StreamRest);
    }

    /// Sends requests one after the other until one has reached a silent server, and returns the
    /// answer to that one.
    Task<wire::HttpResponse> fetchFromSilent(std::string target)
    {
        co_await untilServing();
        wire::HttpResponse response;
        do {
            response = co_await fetch(m_callers, target, "GET");
        } while (m_silent.requests() + m_alsoSilent.requests() == 0 && response.status == 200);
        co_return response;
    }

    /// Returns whether a metric of the gateway has the value, given as "name value".
    Task<bool> shows(std::string metric)
    {
        const wire::HttpResponse page = co_await fetch(m_metrics, "/metrics");
        co_return page.body.find("\nsnipestall_gateway_" + metric + "\n") != std::string::npos;
    }

    Task<void> fetchStatus(std::vector<int> &statuses)
    {
        const wire::HttpResponse response = co_await fetch(m_callers, "/safe/x");
        statuses.push_back(static_cast<int>(response.status));
    }

    void playSilent(const std::string &bytes)
    {
        for (RawBackend *server : { &m_silent, &m_alsoSilent })
            server->play({ bytes, End::Close, "", Silence });
    }

    RawBackend m_silent { m_io, "i-1" };
    RawBackend m_alsoSilent { m_io, "i-2" };
};

class SilentServerWithoutRepeatsTest : public SilentServerTest
{
protected:
    SilentServerWithoutRepeatsTest()
    {
        // No other instance hands over repeats.
        GatewaySettings settings = settingsOf("edge-2");
        settings.store = m_ownStore.endpoint();
        settings.duties = m_ownStore.endpoint();
        settings.bounds.retrySlack = 0;
        m_withoutRepeats = startInstance(settings);
        m_callers = m_withoutRepeats.callers;
        m_metrics = m_withoutRepeats.metrics;
        listServers(m_ownStore, false);
    }

    platform::StandinStore m_ownStore { m_io };
    Instance m_withoutRepeats;
};

// Guards against a request that ends as lost after half a second, with its server about to answer:
// its attempt was ended because of silence, and then the limit on repeats did not admit another.
TEST_F(SilentServerWithoutRepeatsTest, ACallGetsTheLateAnswer)
{
    playSilent(std::string(PlainHead) + "late");
    run([this]() -> Task<void> {
        const wire::HttpResponse response = co_await fetchFromSilent("/safe/x");
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "late");
        EXPECT_TRUE(co_await shows("attempts_stalled 1"));
        EXPECT_TRUE(co_await shows("attempts_replaced 0"));
    });
}

// The same for a stream that has not begun.
TEST_F(SilentServerWithoutRepeatsTest, AStreamGetsTheLateEvents)
{
    playSilent(std::string(StreamHead) + "id: 1\ndata: late\n\n");
    run([this]() -> Task<void> {
        const wire::HttpResponse response = co_await fetchFromSilent("/again/x");
        EXPECT_EQ(response.status, 200);
        EXPECT_NE(response.body.find("late"), std::string::npos);
    });
}

// Guards against requests that are sent from one silent server to another, which spends the repeats
// that the service may get: with all servers silent, waiting is the only way.
TEST_F(SilentServerTest, RequestsStayWhereTheyAreWhileAllServersAreSilent)
{
    listServers(m_store, true);
    playSilent(std::string(PlainHead) + "late");
    run([this]() -> Task<void> {
        co_await untilServing();
        constexpr std::size_t Requests = 4;
        std::vector<int> statuses;
        for (std::size_t i = 0; i < Requests; ++i)
            boost::asio::co_spawn(m_io, fetchStatus(statuses), boost::asio::detached);
        while (statuses.size() < Requests)
            co_await wire::sleepFor(5ms);
        EXPECT_EQ(statuses, std::vector<int>(Requests, 200));
        EXPECT_TRUE(co_await shows("attempts_stalled 4"));
        EXPECT_TRUE(co_await shows("repeats 0"));
    });
}

// Guards against two harms: a request that waits for a server that may be gone while another one
// is there, and a server that only paused and counts as lost, because the instance itself ended
// the attempt.
TEST_F(SilentServerTest, ARequestIsSentToAnotherServerAndTheSilentOneDoesNotCountAsLost)
{
    listServers(m_store, false);
    m_silent.play({ std::string(PlainHead) + "late", End::Close, "", 20s });
    run([this]() -> Task<void> {
        co_await untilServing();
        bool stalled = false;
        while (!stalled) {
            const wire::HttpResponse response = co_await fetch(m_callers, "/safe/x");
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.fields.find("X-Server-Seal"), "seal-i-2");
            stalled = co_await shows("attempts_replaced 1");
        }
        EXPECT_TRUE(co_await shows("repeats 1"));
        EXPECT_TRUE(co_await shows("server_losses 0"));
    });
}

// Guards against avoiding sound servers, and with several of them their data centre, because
// streams ended at a short time-out of their route or of their callers.
TEST_F(SilentServerTest, AStreamThatEndsAtItsDeadlineSaysNothingOfItsServer)
{
    publish();
    for (TestBackend *server : { &m_first, &m_second })
        server->behave(TestBackend::Behaviour::Stream);
    run([this]() -> Task<void> {
        co_await untilServing();
        wire::HttpRequest request;
        request.method = "POST";
        request.target = "/solo/x";
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", "short");
        request.fields.set("X-Deadline-Ms", "300");
        request.fields.set("Authorization", "Bearer secret");
        const auto response = co_await m_client.fetch(m_callers, request);
        EXPECT_FALSE(response);
        EXPECT_TRUE(co_await shows("failed 1"));
        EXPECT_TRUE(co_await shows("server_losses 0"));
    });
}

} // namespace
} // namespace snipestall::gateway
