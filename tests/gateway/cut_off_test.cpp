// Tests of an instance that is cut off from all backend servers, over the whole path on loopback.

#include "cut_instance.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

/// Time after the beginning of a cut from which on callers of the instance are served.
constexpr std::chrono::seconds ContactTime { 3 };
constexpr int Requests = 60;

class CutOffTest : public WithCutInstance<GatewayPathTest>
{
protected:
    CutOffTest()
    {
        publish();
        startCut({ &m_first, &m_second });
    }

    /// Waits until both instances serve, and have exchanged reports for a while.
    Task<void> untilAllServing()
    {
        co_await untilServing();
        co_await untilServing(m_cut.metrics, 2);
        co_await wire::sleepFor(2s);
    }

    /// Returns the line of a metric of the instance that may be cut off.
    Task<std::string> metric(std::string name)
    {
        const wire::HttpResponse page = co_await fetch(m_cut.metrics, "/metrics");
        const std::size_t at = page.body.find("\n" + name + " ");
        co_return page.body.substr(at + 1, page.body.find('\n', at + 1) - at - 1);
    }

    /// Sends requests to the instance one after the other. Returns how many of them were served.
    Task<int> served(std::string path, std::string method)
    {
        int count = 0;
        for (int i = 0; i < Requests; ++i) {
            const auto response = co_await fetch(m_cut.callers, path, method);
            count += response.status == 200 ? 1 : 0;
            co_await wire::sleepFor(20ms);
        }
        co_return count;
    }

    /// Serves some requests, cuts the instance off, and counts what it serves after a while.
    void expectServedWhileCut(TestLink::Cut kind)
    {
        run([this, kind]() -> Task<void> {
            co_await untilAllServing();
            EXPECT_EQ(co_await served("/safe/x", "GET"), Requests);
            cut(kind);
            const auto until = std::chrono::steady_clock::now() + ContactTime;
            while (std::chrono::steady_clock::now() < until) {
                co_await fetch(m_cut.callers, "/once/x", "POST");
                co_await wire::sleepFor(50ms);
            }
            const int once = co_await served("/once/x", "POST");
            EXPECT_GE(once, Requests * 2 / 3);
            const int safe = co_await served("/safe/x", "GET");
            EXPECT_GE(safe, Requests * 2 / 3);
            expectEachRunOnce();
        });
    }

    /// Checks that no request that may run once has run twice, and that the servers see nothing of
    /// what instances tell each other.
    void expectEachRunOnce() const
    {
        std::set<std::string> attempts;
        for (const TestBackend *backend : { &m_first, &m_second }) {
            for (const wire::HttpRequest &request : backend->ran()) {
                const std::string attempt = request.fields.find("X-Attempt-Id").value_or("");
                EXPECT_TRUE(!request.path().starts_with("/once/")
                            || attempts.insert(attempt).second)
                    << attempt << " has run twice";
                EXPECT_FALSE(request.fields.find("Snipestall-Config-Version"));
                EXPECT_FALSE(request.fields.find("Snipestall-Runs"));
                EXPECT_FALSE(request.fields.find("Snipestall-Sends"));
            }
        }
    }
};

// Guards against callers that come back in vain: their request is forwarded to an instance that has
// been asked for rest by all servers, and only that one knows when the first rest ends.
TEST_F(CutOffTest, CallersAreToldTheRestsOfTheInstanceThatIsForwardedTo)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        cut(TestLink::Cut::Refuse);
        while (!co_await hasMetric("snipestall_gateway_cut_off 1"))
            co_await fetch(m_cut.callers, "/safe/x");
        for (TestBackend *backend : { &m_first, &m_second })
            backend->askForRest(1, { "10" });
        for (int i = 0; i < 3; ++i)
            co_await fetch(m_callers, "/safe/x");
        const auto response = co_await fetch(m_cut.callers, "/safe/x");
        EXPECT_EQ(response.status, 503);
        EXPECT_GE(std::stod(response.fields.find("Retry-After").value_or("0")), 8);
    });
}

// Guards against requests to a server that leaves by an instance that has passed on its answers
// through another instance, and reaches it by itself later.
TEST_F(CutOffTest, AnInstanceThatForwardsLearnsWhichServersLeave)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        cut(TestLink::Cut::Refuse);
        while (!co_await hasMetric("snipestall_gateway_cut_off 1"))
            co_await fetch(m_cut.callers, "/safe/x");
        m_first.sayItLeaves();
        co_await served("/safe/x", "GET");
        cut(TestLink::Cut::None);
        while (co_await hasMetric("snipestall_gateway_cut_off 1"))
            co_await wire::sleepFor(50ms);
        const std::size_t before = m_first.received().size();
        EXPECT_EQ(co_await served("/safe/x", "GET"), Requests);
        EXPECT_EQ(m_first.received().size(), before);
    });
}

// Guards against requests that an instance forwards to one that is stopping, and that run there
// without an answer, or are answered as lost although they have not run.
TEST_F(CutOffTest, RequestsForwardedToAStoppingInstanceAreAnsweredTruly)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        cut(TestLink::Cut::Refuse);
        while (!co_await hasMetric("snipestall_gateway_cut_off 1"))
            co_await fetch(m_cut.callers, "/safe/x");
        const auto runs = [this] { return m_first.ran().size() + m_second.ran().size(); };
        const std::size_t before = runs();
        m_gateway->drain();
        std::size_t served = 0;
        for (int i = 0; i < Requests; ++i) {
            const auto response = co_await fetch(m_cut.callers, "/once/x", "POST");
            EXPECT_TRUE(response.status == 200 || response.status == 503) << response.status;
            served += response.status == 200 ? 1 : 0;
            co_await wire::sleepFor(50ms);
        }
        EXPECT_EQ(runs() - before, served);
        expectEachRunOnce();
    });
}

// Guards against callers of an instance that are refused for as long as the network path from this
// instance to all backend servers is cut, although the callers and the other instances reach it.
TEST_F(CutOffTest, CallersAreServedWhileConnectionsAreRefused)
{
    expectServedWhileCut(TestLink::Cut::Refuse);
}

// The same while connections hang instead of being refused.
TEST_F(CutOffTest, CallersAreServedWhileConnectionsHang)
{
    expectServedWhileCut(TestLink::Cut::Hang);
}

// The same while open connections live on and new ones are refused.
TEST_F(CutOffTest, CallersAreServedWhileNewConnectionsAreRefused)
{
    expectServedWhileCut(TestLink::Cut::RefuseNew);
}

TEST_F(CutOffTest, StreamsAreForwardedAsTheyArrive)
{
    for (TestBackend *backend : { &m_first, &m_second })
        backend->behave(TestBackend::Behaviour::StreamRest);
    run([this]() -> Task<void> {
        co_await untilAllServing();
        cut(TestLink::Cut::Refuse);
        wire::HttpResponse response;
        do {
            response = co_await fetch(m_cut.callers, "/again/x", "POST");
        } while (response.status != 200);
        for (int event = 1; event <= TestBackend::AllEvents; ++event)
            EXPECT_NE(response.body.find("id: " + std::to_string(event) + "\n"), std::string::npos);
    });
}

// Guards against callers that are forwarded for longer than the cut.
TEST_F(CutOffTest, RequestsAreServedLocallyOnceThePathIsBack)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        cut(TestLink::Cut::Refuse);
        do {
            co_await fetch(m_cut.callers, "/safe/x");
            co_await wire::sleepFor(5ms);
        } while (!co_await hasMetric("snipestall_gateway_cut_off 1"));
        cut(TestLink::Cut::None);
        while (!co_await hasMetric("snipestall_gateway_cut_off 0"))
            co_await wire::sleepFor(5ms);
        const std::string before = co_await metric("snipestall_gateway_forwarded");
        EXPECT_EQ(co_await served("/once/x", "POST"), Requests);
        EXPECT_EQ(co_await metric("snipestall_gateway_forwarded"), before);
    });
}

// A caller that sends what instances tell each other gains nothing, and the servers do not get it.
TEST_F(CutOffTest, ACallerCannotPassForAnInstance)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        wire::HttpRequest request;
        request.method = "POST";
        request.target = "/once/x";
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", "attempt-forged");
        request.fields.set("Authorization", "Bearer none");
        request.fields.set("Snipestall-Config-Version", "1");
        const auto unknown = co_await m_client.fetch(m_callers, request);
        EXPECT_EQ(unknown->status, 401);
        request.fields.set("Authorization", "Bearer secret");
        request.fields.set("Snipestall-Config-Version", "999");
        request.fields.set("Snipestall-Runs", "0");
        request.fields.set("Snipestall-Sends", "0");
        const auto known = co_await m_client.fetch(m_callers, request);
        EXPECT_EQ(known->status, 200);
        EXPECT_FALSE(known->fields.find("Snipestall-Runs"));
        expectEachRunOnce();
    });
}

// Guards against answers by a configuration that the callers of an instance have seen replaced: the
// instance that serves its requests has an older one.
TEST_F(CutOffTest, AnInstanceWithAnOlderConfigurationServesNoForwardedRequest)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        wire::HttpRequest request;
        request.target = "/safe/x";
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", "attempt-newer");
        request.fields.set("Authorization", "Bearer secret");
        request.fields.set("Snipestall-Config-Version", "4");
        const wire::Endpoint instances { "127.0.0.1", m_settings.forwardPort };
        const auto newer = co_await m_client.fetch(instances, request);
        EXPECT_EQ(newer->status, 503);
        EXPECT_TRUE(newer->fields.find("Snipestall-Not-Run"));
        request.fields.set("Snipestall-Config-Version", "3");
        const auto same = co_await m_client.fetch(instances, request);
        EXPECT_EQ(same->status, 200);
    });
}

} // namespace
} // namespace snipestall::gateway
