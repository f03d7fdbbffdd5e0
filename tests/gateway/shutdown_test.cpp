#include "gateway_fixture.hpp"

#include "snipestall/serving/request_durations.hpp"
#include "snipestall/serving/shutdown_plan.hpp"

#include <optional>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::HttpResponse;
using wire::Task;

class ShutdownTest : public GatewayPathTest
{
protected:
    // No usage window ends during a test: the other instance would report it and remove the rows
    // that the test waits for.
    ShutdownTest()
        : GatewayPathTest(10ms, 0, 24h)
    { }

    /// Returns an instance that has served a request and holds the lease, so that its shutdown
    /// needs every call to the store.
    Task<Instance> servingInstance(std::chrono::milliseconds grace)
    {
        GatewaySettings settings = settingsOf("edge-2");
        settings.bounds.grace = grace;
        Instance instance = startInstance(settings);
        co_await untilServing(instance.metrics, 2);
        co_await untilMetric(instance.metrics, "snipestall_gateway_time_known", 1);
        while (m_store.valueOf({ "duty", "", "lease" }).empty())
            co_await wire::sleepFor(5ms);
        co_await fetch(instance.callers, "/safe/x");
        co_return instance;
    }

    /// Sums the request counts of the only customer in the stored rows of the instance over all
    /// windows.
    [[nodiscard]] std::uint64_t storedCount() const
    {
        std::uint64_t sum = 0;
        for (const platform::StoredRow &row : m_store.rowsOf("usage-counts")) {
            const std::size_t at = row.value.rfind(':');
            if (row.name.key.starts_with("edge-2/") && at != std::string::npos)
                sum += std::stoull(row.value.substr(at + 1));
        }
        return sum;
    }
};

// Guards against accepting requests for too long in a shutdown because the store does not answer.
TEST_F(ShutdownTest, ASilentStoreDoesNotProlongTheTimeForWhichWorkIsTaken)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(30s);
        const std::size_t ran = m_first.ran().size() + m_second.ran().size();
        m_store.setUnresponsive(true);
        instance.gateway->drain();
        co_await wire::sleepFor(serving::ShutdownPlan::AcceptPeriod);
        const HttpResponse late = co_await fetch(instance.callers, "/safe/x");
        EXPECT_EQ(late.status, 503);
        EXPECT_TRUE(late.fields.find("Retry-After"));
        EXPECT_EQ(m_first.ran().size() + m_second.ran().size(), ran);
    });
}

// Guards against requests that begin during a shutdown and are missing from every usage report.
TEST_F(ShutdownTest, RequestsThatBeginWhileWorkIsStillTakenAreCounted)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(8s);
        instance.gateway->drain();
        while (storedCount() < 1)
            co_await wire::sleepFor(5ms);
        co_await fetch(instance.callers, "/safe/x");
        while (storedCount() < 2)
            co_await wire::sleepFor(5ms);
        EXPECT_EQ(storedCount(), 2U);
    });
}

// Guards against requests that are taken in a shutdown, and cut by its end, because they last
// longer than the time that is left.
TEST_F(ShutdownTest, WorkIsTakenOnlyIfItEndsBeforeTheProcess)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(4s);
        for (int i = 0; i < serving::RequestDurations::MinMeasured; ++i)
            co_await fetch(instance.callers, "/safe/x");
        co_await wire::sleepFor(5s);
        instance.gateway->drain();
        const HttpResponse measured = co_await fetch(instance.callers, "/safe/x");
        EXPECT_EQ(measured.status, 200);
        m_first.behave(TestBackend::Behaviour::Hang);
        m_second.behave(TestBackend::Behaviour::Hang);
        const std::size_t ran = m_first.ran().size() + m_second.ran().size();
        const HttpResponse unknown = co_await fetch(instance.callers, "/once/x", "POST");
        EXPECT_EQ(unknown.status, 503);
        EXPECT_TRUE(unknown.fields.find("Retry-After"));
        EXPECT_EQ(unknown.fields.find("Connection"), "close");
        EXPECT_EQ(m_first.ran().size() + m_second.ran().size(), ran);
    });
}

// Guards against sending a request to another server so late that the end of the process cuts it,
// although it has not run yet and could be refused.
TEST_F(ShutdownTest, ARequestThatAServerRejectsDuringAShutdownIsNotSentAgain)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(4s);
        const std::size_t before = m_first.received().size() + m_second.received().size();
        m_first.behave(TestBackend::Behaviour::HoldThenSayNotRun);
        m_second.behave(TestBackend::Behaviour::HoldThenSayNotRun);
        std::optional<HttpResponse> response;
        const std::size_t atFirst = m_first.received().size();
        boost::asio::co_spawn(
            m_io, [&]() -> Task<void> { response = co_await fetch(instance.callers, "/safe/x"); },
            boost::asio::detached);
        while (m_first.received().size() + m_second.received().size() == before)
            co_await wire::sleepFor(5ms);
        instance.gateway->drain();
        const bool holds = m_first.received().size() > atFirst;
        TestBackend &holder = holds ? m_first : m_second;
        TestBackend &other = holds ? m_second : m_first;
        const std::size_t ran = other.ran().size();
        other.behave(TestBackend::Behaviour::Hang);
        holder.behave(TestBackend::Behaviour::Serve);
        while (!response)
            co_await wire::sleepFor(5ms);
        EXPECT_EQ(response->status, 503);
        EXPECT_EQ(other.ran().size(), ran);
    });
}

// Guards against a connection that is closed without an answer when the grace period ends.
TEST_F(ShutdownTest, ARequestThatStillRunsWhenTheGraceEndsGetsAnAnswer)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(2s);
        m_first.behave(TestBackend::Behaviour::Hang);
        m_second.behave(TestBackend::Behaviour::Hang);
        std::optional<HttpResponse> response;
        boost::asio::co_spawn(
            m_io,
            [&]() -> Task<void> { response = co_await fetch(instance.callers, "/once/x", "POST"); },
            boost::asio::detached);
        while (m_first.ran().size() + m_second.ran().size() < 2)
            co_await wire::sleepFor(5ms);
        instance.gateway->drain();
        while (!response)
            co_await wire::sleepFor(5ms);
        EXPECT_EQ(response->status, 502);
    });
}

} // namespace
} // namespace snipestall::gateway
