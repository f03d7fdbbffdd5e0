#include "gateway_fixture.hpp"

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

// Guards against refusing callers with 404 while an instance starts: an instance that had not yet
// read its configuration acted as if the configuration had no routes.
TEST_F(GatewayPathTest, WithoutAConfigurationItIsNotReadyAndSaysNotRun)
{
    run([this]() -> Task<void> {
        const HttpResponse ready = co_await fetch(m_readiness, "/v1/readyz");
        EXPECT_EQ(ready.status, 503);
        const HttpResponse refused = co_await fetch(m_callers, "/safe/x");
        EXPECT_EQ(refused.status, 503);
        EXPECT_TRUE(refused.fields.find("Retry-After"));
    });
}

class GatewayStartTest : public GatewayPathTest
{
protected:
    GatewayStartTest()
        : GatewayPathTest(30s)
    { }
};

// Guards against refusing callers during a start: all instances lose power and start again
// together. Callers reach them some milliseconds before they have read the store, are refused, and
// retry half a second later, too late for their target.
TEST_F(GatewayStartTest, ACallerThatComesRightAfterTheStartIsKeptUntilTheStoreIsRead)
{
    publish();
    run([this]() -> Task<void> {
        const HttpResponse response = co_await fetch(m_callers, "/safe/x");
        EXPECT_EQ(response.status, 200);
    });
}

TEST_F(GatewayPathTest, ACallIsAnsweredUnchangedAndItsKeyStaysHere)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse ready = co_await fetch(m_readiness, "/v1/readyz");
        EXPECT_EQ(ready.status, 200);
        const HttpResponse response = co_await fetch(m_callers, "/safe/x?y=1");
        EXPECT_EQ(response.status, 200);
        const bool first = !m_first.ran().empty();
        const TestBackend &backend = first ? m_first : m_second;
        EXPECT_EQ(response.body, "answer of " + backend.id());
        EXPECT_EQ(response.fields.find("X-Server-Seal"), "seal-" + backend.id());
        EXPECT_EQ(backend.ran().size(), 1U);
        const HttpRequest &request = backend.ran().front();
        EXPECT_EQ(request.target, "/safe/x?y=1");
        EXPECT_FALSE(request.fields.find("Authorization"));
        EXPECT_EQ(request.fields.find("X-Tenant-Name"), "harbour");
        EXPECT_EQ(request.fields.find("X-Expect-Instance"), backend.id());
    });
}

TEST_F(GatewayPathTest, UnknownKeysAndRoutesAreRefused)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse key = co_await fetch(m_callers, "/safe/x", "GET", "other");
        EXPECT_EQ(key.status, 401);
        const HttpResponse route = co_await fetch(m_callers, "/none/x");
        EXPECT_EQ(route.status, 404);
        EXPECT_TRUE(m_first.ran().empty() && m_second.ran().empty());
    });
}

// Guards against charging an account twice: the answer to a top-up is lost on the way, and the
// top-up is sent to another server.
TEST_F(GatewayPathTest, ARequestThatMayRunOnceIsNotSentAgainWhenItsAnswerIsLost)
{
    publish();
    m_first.behave(TestBackend::Behaviour::LoseAnswer);
    m_second.behave(TestBackend::Behaviour::LoseAnswer);
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse response = co_await fetch(m_callers, "/once/x", "POST");
        EXPECT_EQ(response.status, 502);
        EXPECT_EQ(m_first.ran().size() + m_second.ran().size(), 1U);
    });
}

TEST_F(GatewayPathTest, ARequestThatAServerDidNotRunGoesToAnother)
{
    publish();
    m_first.behave(TestBackend::Behaviour::SayNotRun);
    run([this]() -> Task<void> {
        co_await untilServing();
        for (int i = 0; i < 4; ++i) {
            const HttpResponse response = co_await fetch(m_callers, "/once/x", "POST");
            EXPECT_EQ(response.status, 200);
        }
        EXPECT_EQ(m_second.ran().size(), 4U);
    });
}

// Guards against refusing many callers after a reclaim: the servers have ended and other servers
// have their addresses, but the list does not show it yet. Request after request is sent there and
// uses up the retries that the service may get.
TEST_F(GatewayPathTest, AServerWhoseAddressAnotherOneHasGetsNoSecondRequest)
{
    publish();
    m_first.behave(TestBackend::Behaviour::OtherServer);
    run([this]() -> Task<void> {
        co_await untilServing();
        for (int i = 0; i < 12; ++i) {
            const HttpResponse response = co_await fetch(m_callers, "/once/x", "POST");
            EXPECT_EQ(response.status, 200);
        }
        EXPECT_LE(m_first.misdirected(), 1);
    });
}

// Guards against charging an account twice: a caller gets the answer that its top-up was not run,
// and tops up again. Every server that was tried had refused the request but one, whose answer was
// lost.
TEST_F(GatewayPathTest, NotRunIsSaidOnlyWhenNoServerMayHaveRunIt)
{
    publish();
    m_first.behave(TestBackend::Behaviour::SayNotRun);
    m_second.behave(TestBackend::Behaviour::SayNotRun);
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse refused = co_await fetch(m_callers, "/once/x", "POST");
        EXPECT_EQ(refused.status, 503);
        EXPECT_TRUE(refused.fields.find("Retry-After"));
        m_second.behave(TestBackend::Behaviour::LoseAnswer);
        const HttpResponse lost = co_await fetch(m_callers, "/once/x", "POST");
        EXPECT_EQ(lost.status, 502);
    });
}

// Guards against an answer that breaks off in the middle: its server is reclaimed on seconds of
// notice, and the stream may not be run again. Its run moves to another server together with its KV
// cache instead.
TEST_F(GatewayPathTest, ARunningStreamMovesAwayBeforeItsServerIsTakenBack)
{
    publish();
    m_first.behave(TestBackend::Behaviour::Stream);
    m_second.behave(TestBackend::Behaviour::Stream);
    run([this]() -> Task<void> {
        co_await untilServing();
        boost::asio::co_spawn(
            m_io,
            [this]() -> Task<void> {
                while (m_first.events() + m_second.events() < 5)
                    co_await wire::sleepFor(1ms);
                const TestBackend &source = m_first.events() > 0 ? m_first : m_second;
                m_store.put({ "servers", "", source.id() },
                            source.entry(R"("draining","leaves_ms":600)"));
            },
            boost::asio::detached);
        const HttpResponse response = co_await fetch(m_callers, "/solo/x", "POST");
        EXPECT_EQ(response.status, 200);
        const bool fromFirst = !m_first.moves().empty();
        const TestBackend &source = fromFirst ? m_first : m_second;
        const TestBackend &target = fromFirst ? m_second : m_first;
        EXPECT_EQ(source.moves().size(), 1U);
        EXPECT_NE(source.moves().front().body.find(target.address()), std::string::npos);
        EXPECT_EQ(target.ran().size(), 1U);
        EXPECT_EQ(target.ran().front().fields.find("Kv-From"), source.address() + "/h7");
        std::string expected;
        for (int i = 1; i <= target.events(); ++i)
            expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
        EXPECT_EQ(response.body, expected);
        EXPECT_EQ(response.fields.find("X-Server-Seal"), "seal-" + source.id());
    });
}

TEST_F(GatewayPathTest, AFailureThatRepeatsIsPassedOnAsTheServerGaveIt)
{
    publish();
    m_first.behave(TestBackend::Behaviour::Fail);
    m_second.behave(TestBackend::Behaviour::Fail);
    run([this]() -> Task<void> {
        co_await untilServing();
        const HttpResponse response = co_await fetch(m_callers, "/safe/x");
        EXPECT_EQ(response.status, 500);
        EXPECT_TRUE(response.fields.find("X-Server-Seal"));
        EXPECT_LE(m_first.ran().size() + m_second.ran().size(), 2U);
    });
}

} // namespace
} // namespace snipestall::gateway
