#include "gateway_fixture.hpp"

#include "snipestall/serving/request_durations.hpp"
#include "snipestall/serving/shutdown_plan.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
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

    tcp::socket connect(const wire::Endpoint &address)
    {
        tcp::socket socket(m_io);
        socket.connect({ boost::asio::ip::make_address(address.host), address.port });
        return socket;
    }

    static std::string requestText(const std::string &attempt)
    {
        return "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer secret\r\n\r\n";
    }

    static Task<void> send(tcp::socket &socket, std::string text)
    {
        co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                          boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    /// Reads until the gateway ends the connection; `m_readEnd` says how.
    Task<std::string> readAll(tcp::socket &socket)
    {
        std::string text;
        auto [error, bytes] =
            co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(text),
                                             boost::asio::as_tuple(boost::asio::use_awaitable));
        m_readEnd = error;
        co_return text;
    }

    static std::size_t countOf(std::string_view part, std::string_view text)
    {
        std::size_t count = 0;
        for (auto at = text.find(part); at != text.npos; at = text.find(part, at + part.size()))
            ++count;
        return count;
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

    boost::system::error_code m_readEnd;
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

// Guards against requests that are dropped because their caller has sent them before the answer to
// the one before: some have been read into the buffer, others are still in the kernel.
TEST_F(ShutdownTest, RequestsThatWereSentAheadAreAnswered)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(8s);
        m_first.behave(TestBackend::Behaviour::HoldThenSayNotRun);
        m_second.behave(TestBackend::Behaviour::HoldThenSayNotRun);
        const std::size_t before = m_first.received().size() + m_second.received().size();
        tcp::socket caller = connect(instance.callers);
        co_await send(caller, requestText("ahead-1") + requestText("ahead-2"));
        while (m_first.received().size() + m_second.received().size() == before)
            co_await wire::sleepFor(5ms);
        co_await send(caller, requestText("ahead-3") + requestText("ahead-4"));
        instance.gateway->drain();
        m_first.behave(TestBackend::Behaviour::Serve);
        m_second.behave(TestBackend::Behaviour::Serve);
        const std::string text = co_await readAll(caller);
        std::size_t at = 0;
        for (const char *attempt : { "ahead-1", "ahead-2", "ahead-3", "ahead-4" }) {
            at = text.find(attempt, at);
            EXPECT_NE(at, std::string::npos) << attempt << " in " << text;
        }
        EXPECT_EQ(countOf("HTTP/1.1 ", text), 4U);
        EXPECT_EQ(countOf("Connection: close", text), 1U);
        EXPECT_GT(text.find("Connection: close"), text.rfind("HTTP/1.1 "));
        EXPECT_EQ(m_readEnd, boost::asio::error::eof);
    });
}

// Guards against a reset that destroys an answer on its way: the connection was closed while the
// rest of what the caller had sent was unread.
TEST_F(ShutdownTest, AConnectionWithUnreadBytesIsNotReset)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(8s);
        tcp::socket caller = connect(instance.callers);
        co_await send(caller,
                      "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Long: "
                          + std::string(256 * 1024, 'x') + "\r\n\r\n");
        const std::string text = co_await readAll(caller);
        EXPECT_TRUE(text.starts_with("HTTP/1.1 431 ")) << text;
        EXPECT_EQ(m_readEnd, boost::asio::error::eof);
    });
}

// Guards against a new connection that counts as idle, and is closed, before its request arrives.
TEST_F(ShutdownTest, ANewConnectionIsAnsweredAsLongAsTheProcessRuns)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(8s);
        m_first.behave(TestBackend::Behaviour::Hang);
        m_second.behave(TestBackend::Behaviour::Hang);
        tcp::socket running = connect(instance.callers);
        co_await send(running, requestText("running"));
        while (m_first.received().size() + m_second.received().size() < 2)
            co_await wire::sleepFor(5ms);
        instance.gateway->drain();
        co_await wire::sleepFor(serving::ShutdownPlan::AcceptPeriod);
        tcp::socket caller = connect(instance.callers);
        co_await wire::sleepFor(200ms);
        co_await send(caller, requestText("new"));
        const std::string text = co_await readAll(caller);
        EXPECT_TRUE(text.starts_with("HTTP/1.1 503 ")) << text;
        EXPECT_EQ(countOf("Connection: close", text), 1U);
        EXPECT_EQ(m_readEnd, boost::asio::error::eof);
    });
}

// Guards against a connection that is cut by the end of the process while its request arrives.
TEST_F(ShutdownTest, ARequestWhoseBodyHasNotArrivedIsRefused)
{
    publish();
    run([this]() -> Task<void> {
        const Instance instance = co_await servingInstance(2s);
        tcp::socket caller = connect(instance.callers);
        co_await send(caller,
                      "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: half\r\n"
                      "Content-Length: 100\r\n\r\nthe first half");
        co_await wire::sleepFor(50ms);
        instance.gateway->drain();
        const std::string text = co_await readAll(caller);
        EXPECT_TRUE(text.starts_with("HTTP/1.1 503 ")) << text;
        EXPECT_EQ(countOf("Retry-After: ", text), 1U);
        EXPECT_EQ(m_readEnd, boost::asio::error::eof);
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
