// Tests of how often a request runs that several instances serve, counted at the servers, over the
// whole path on loopback.

#include "cut_instance.hpp"

#include <algorithm>
#include <chrono>
#include <initializer_list>
#include <map>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

/// What the routes of the configuration allow that may repeat their requests.
constexpr int AttemptLimit = 2;
constexpr int Requests = 60;
constexpr int Streams = 40;

/// Returns how often the attempt ran that ran most often.
int mostRuns(std::initializer_list<const TestBackend *> backends)
{
    std::map<std::string, int> runs;
    int most = 0;
    for (const TestBackend *backend : backends) {
        for (const wire::HttpRequest &request : backend->ran())
            most = std::max(most, ++runs[request.fields.find("X-Attempt-Id").value_or("")]);
    }
    return most;
}

/// Three instances, of which one reaches both servers through links that can be cut, and forwards
/// to the two others while they are.
class ForwardedRunsTest : public WithCutInstance<GatewayPathTest>
{
protected:
    ForwardedRunsTest()
    {
        publish();
        startCut({ &m_first, &m_second });
        m_third = startInstance(settingsOf("edge-3"));
        introduce(m_cutStore, m_third.settings);
    }

    void allServersBehave(TestBackend::Behaviour behaviour)
    {
        for (TestBackend *backend : { &m_first, &m_second })
            backend->behave(behaviour);
    }

    /// Cuts the instance off once all are serving, and sends requests to it until some have been
    /// forwarded and `count` have been sent.
    void sendWhileCut(const std::string &path, const std::string &method, int count)
    {
        run([this, path, method, count]() -> Task<void> {
            co_await untilServing();
            for (const Instance *instance : { &m_cut, &m_third })
                co_await untilServing(instance->metrics, 2);
            co_await wire::sleepFor(1s);
            cut(TestLink::Cut::Refuse);
            while (!co_await hasMetric("snipestall_gateway_cut_off 1"))
                co_await fetch(m_cut.callers, path, method);
            for (int i = 0; i < count; ++i) {
                co_await fetch(m_cut.callers, path, method);
                co_await wire::sleepFor(10ms);
            }
        });
    }

    Instance m_third;
};

// Guards against a request that runs more often than its route allows, because each instance that
// serves it counts its own runs only: it runs as often as allowed at the first one, comes back with
// a failure, and is forwarded to the next one.
TEST_F(ForwardedRunsTest, AFailingRequestRunsAsOftenAsItsRouteAllows)
{
    allServersBehave(TestBackend::Behaviour::Fail);
    sendWhileCut("/safe/x", "GET", Requests);
    EXPECT_EQ(mostRuns({ &m_first, &m_second }), AttemptLimit);
}

// The same where the servers lose the answer.
TEST_F(ForwardedRunsTest, ARequestWhoseAnswersAreLostRunsAsOftenAsItsRouteAllows)
{
    allServersBehave(TestBackend::Behaviour::LoseAnswer);
    sendWhileCut("/safe/x", "GET", Requests);
    EXPECT_EQ(mostRuns({ &m_first, &m_second }), AttemptLimit);
}

// The same for a stream that breaks off again and again, and is continued by the instance that
// serves it as well as by the one that has forwarded it.
TEST_F(ForwardedRunsTest, AStreamThatBreaksOffRunsAsOftenAsItsRouteAllows)
{
    allServersBehave(TestBackend::Behaviour::CrashAfterEvents);
    sendWhileCut("/again/x", "POST", Streams);
    EXPECT_EQ(mostRuns({ &m_first, &m_second }), AttemptLimit);
}

class GrantedRunsTest : public GatewayPathTest
{
protected:
    GrantedRunsTest()
    {
        publish();
        for (TestBackend *backend : { &m_first, &m_second })
            backend->behave(TestBackend::Behaviour::Fail);
    }

    /// Sends a request to the port for instances that grants these attempts; empty: not stated.
    Task<wire::HttpResponse> forward(std::string runs, std::string sends)
    {
        wire::HttpRequest request;
        request.target = "/safe/x";
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", "granted-" + runs + "-" + sends);
        request.fields.set("Authorization", "Bearer secret");
        request.fields.set("Snipestall-Config-Version", "3");
        if (!runs.empty())
            request.fields.set("Snipestall-Runs", runs);
        if (!sends.empty())
            request.fields.set("Snipestall-Sends", sends);
        const wire::Endpoint instances { "127.0.0.1", m_settings.forwardPort };
        co_return *co_await m_client.fetch(instances, request);
    }
};

// Guards against an instance that serves a forwarded request more often than is left to it. One
// that states nothing, or nothing that can be read, may have used all attempts but one.
TEST_F(GrantedRunsTest, AForwardedRequestRunsAsOftenAsIsLeftToIt)
{
    struct Case
    {
        std::string runs;
        std::string sends;
        std::size_t expected;
    };
    run([this]() -> Task<void> {
        co_await untilServing();
        for (const Case &each : std::vector<Case> {
                 { "2", "5", 2 },
                 { "1", "5", 1 },
                 { "2", "1", 1 },
                 { "1000", "1000", 2 },
                 { "", "", 1 },
                 { "2", "", 1 },
                 { "", "5", 1 },
                 { "two", "5", 1 },
                 { "2x", "5", 1 },
                 { "-1", "5", 1 },
                 { "99999999999999999999", "5", 1 },
             }) {
            const std::size_t before = m_first.ran().size() + m_second.ran().size();
            const wire::HttpResponse response = co_await forward(each.runs, each.sends);
            EXPECT_EQ(response.status, 500);
            const std::size_t ran = m_first.ran().size() + m_second.ran().size() - before;
            EXPECT_EQ(ran, each.expected) << "runs " << each.runs << ", sends " << each.sends;
            EXPECT_EQ(response.fields.find("Snipestall-Runs"), std::to_string(ran));
        }
    });
}

// A request to which nothing is left has not run here, and says so.
TEST_F(GrantedRunsTest, AForwardedRequestToWhichNothingIsLeftIsRefusedAsNotRun)
{
    run([this]() -> Task<void> {
        co_await untilServing();
        for (const char *runs : { "0", "2" }) {
            const wire::HttpResponse response =
                co_await forward(runs, runs == std::string("0") ? "5" : "0");
            EXPECT_EQ(response.status, 503);
            EXPECT_EQ(response.fields.find("Snipestall-Not-Run"), "unsent");
        }
        EXPECT_TRUE(m_first.ran().empty() && m_second.ran().empty());
    });
}

} // namespace
} // namespace snipestall::gateway
