#include "snipestall/platform/http_platform.hpp"

#include "snipestall/base/manual_clock.hpp"
#include "snipestall/platform/platform_json.hpp"
#include "snipestall/platform/run_task.hpp"
#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/http_server.hpp"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <functional>

namespace snipestall::platform {
namespace {

using namespace std::chrono_literals;
using wire::HttpExchange;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

/// A platform server whose answers the test provides; if the test provides none, the connection is
/// closed.
class HttpPlatformTest : public testing::Test
{
protected:
    using Answer = std::function<std::optional<HttpResponse>(const HttpRequest &)>;

    void listen(Answer answer)
    {
        m_answer = std::move(answer);
        auto server = wire::HttpServer::create(
            m_io, { "127.0.0.1", 0 }, [this](HttpExchange &exchange) { return serve(exchange); },
            {});
        m_server = std::move(server.value());
        m_platform = HttpPlatform::create(m_io, m_server->endpoint(), m_clock);
    }

    Task<void> serve(HttpExchange &exchange)
    {
        ++m_calls;
        m_last = exchange.request();
        auto response = m_answer(m_last);
        if (response)
            co_await exchange.respond(std::move(*response));
        else
            exchange.abort();
    }

    template<typename T>
    T run(Task<T> task)
    {
        const auto slot = startTask(m_io, std::move(task));
        runUntil(m_io, [&] { return slot->has_value(); });
        return std::move(slot->value());
    }

    boost::asio::io_context m_io;
    ManualClock m_clock;
    Answer m_answer;
    HttpRequest m_last;
    int m_calls = 0;
    std::unique_ptr<wire::HttpServer> m_server;
    std::unique_ptr<HttpPlatform> m_platform;
};

Transaction insert(const std::string &key)
{
    return { { { { "t", key }, 0 } }, { { { "t", key }, "v" }, { { "t", "old" }, std::nullopt } } };
}

std::optional<HttpResponse> closeConnection(const HttpRequest &)
{
    return std::nullopt;
}

TEST_F(HttpPlatformTest, FollowsTheTablesProtocol)
{
    listen([](const HttpRequest &) {
        return HttpResponse::json(200,
                                  R"({"committed":false,"conflicts":[{"table":"t","key":"k",)"
                                  R"("value":"x","version":3},{"table":"t","key":"n",)"
                                  R"("value":null,"version":0}]})");
    });
    const auto outcome = run(m_platform->transact(insert("k")));
    ASSERT_TRUE(outcome.has_value()) << outcome.error().message;
    EXPECT_FALSE(outcome->committed);
    ASSERT_EQ(outcome->conflicts.size(), 2U);
    EXPECT_EQ(outcome->conflicts[0].version, 3U);
    EXPECT_EQ(m_last.target, "/table/transact");
    const auto sent = boost::json::parse(m_last.body);
    EXPECT_EQ(sent.at_pointer("/conditions/0/version"), 0);
    EXPECT_EQ(sent.at_pointer("/writes/0/value"), "v");
    EXPECT_FALSE(sent.at_pointer("/writes/1").as_object().contains("value"));
    EXPECT_EQ(m_platform->counters().rowWrites, 2U);
}

TEST_F(HttpPlatformTest, ReadsTheInstanceList)
{
    listen([](const HttpRequest &) {
        return HttpResponse::json(
            200,
            R"({"instances":[{"name":"w1","incarnation":4,"role":"backend","address":)"
            R"("127.0.0.1:9","data_centre":"samsun-hall","service":"language",)"
            R"("class":"spot-small","leaving":true,"notice_ms":1500}]})");
    });
    const auto listed = run(m_platform->list("samsun-hall"));
    ASSERT_TRUE(listed.has_value());
    EXPECT_EQ(m_last.target, "/instances?data_centre=samsun-hall");
    EXPECT_TRUE(listed->front().leaving);
    EXPECT_EQ(listed->front().noticeLeft, 1500ms);
    EXPECT_EQ(listed->front().instanceClass, "spot-small");
}

// The connection is closed after the table has received a write and before it answers. If this were
// reported as Unavailable, the caller would assume that the write was not made. A read has no
// effect, so it may be reported as Unavailable.
TEST_F(HttpPlatformTest, AClosedConnectionLeavesAWriteUnknownAndAReadUnavailable)
{
    listen(closeConnection);
    EXPECT_EQ(run(m_platform->transact(insert("k"))).error().kind, ErrorKind::OutcomeUnknown);
    std::vector<RowKey> keys { { "t", "k" } };
    EXPECT_EQ(run(m_platform->read(keys)).error().kind, ErrorKind::Unavailable);
}

// An answer that does not follow the protocol, or a status 500, does not prove that the write had
// no effect.
TEST_F(HttpPlatformTest, AnInvalidAnswerLeavesAWriteUnknown)
{
    HttpResponse response = HttpResponse::json(200, "{}");
    listen([&](const HttpRequest &) { return response; });
    EXPECT_EQ(run(m_platform->transact(insert("k"))).error().kind, ErrorKind::OutcomeUnknown);
    response.status = 500;
    EXPECT_EQ(run(m_platform->transact(insert("k"))).error().kind, ErrorKind::OutcomeUnknown);
    response.status = 429;
    EXPECT_EQ(run(m_platform->transact(insert("k"))).error().kind, ErrorKind::Unavailable);
}

// In a long outage each call would wait for its timeout, and all waiting calls would arrive
// together when the platform recovers. After three failures, calls must fail at once without
// opening a connection.
TEST_F(HttpPlatformTest, AnOutageOpensTheTablesCircuitAndNoOther)
{
    listen(closeConnection);
    for (int i = 0; i < 10; ++i)
        run(m_platform->transact(insert("k")));
    EXPECT_EQ(m_calls, 3);
    EXPECT_FALSE(m_platform->tableAvailable());
    EXPECT_EQ(run(m_platform->transact(insert("k"))).error().kind, ErrorKind::Unavailable);
    EXPECT_EQ(m_platform->counters().refusedLocally, 8U);
    m_answer = [](const HttpRequest &) { return HttpResponse::json(200, R"({"rows":[]})"); };
    EXPECT_EQ(run(m_platform->get("snapshot")).value(), R"({"rows":[]})");
    m_clock.advance(5s);
    std::vector<RowKey> keys { { "t", "k" } };
    EXPECT_TRUE(run(m_platform->read(keys)).has_value());
    EXPECT_TRUE(m_platform->tableAvailable());
}

TEST_F(HttpPlatformTest, TheCloudsRefusalsBecomeErrorsOfOrders)
{
    HttpResponse response = HttpResponse::json(429, "{}");
    listen([&](const HttpRequest &) { return response; });
    const StartOrder order { "o1", 3, "language", "samsun-hall", "spot-small" };
    EXPECT_EQ(run(m_platform->start(order)).error().kind, ErrorKind::Exhausted);
    response.status = 409;
    EXPECT_EQ(run(m_platform->start(order)).error().kind, ErrorKind::Conflict);
    response = HttpResponse::json(200, R"({"instance":"w7"})");
    EXPECT_EQ(run(m_platform->start(order)).value(), "w7");
    EXPECT_EQ(boost::json::parse(m_last.body).at("fencing"), 3);
    response = HttpResponse();
    response.status = 204;
    EXPECT_TRUE(run(m_platform->release("w7", 3)).has_value());
}

TEST_F(HttpPlatformTest, ObjectsAreWrittenAndReadByName)
{
    HttpResponse response;
    response.status = 204;
    listen([&](const HttpRequest &) { return response; });
    EXPECT_TRUE(run(m_platform->put("settings/7 a", "bytes")).has_value());
    EXPECT_EQ(m_last.target, "/objects/settings/7%20a");
    EXPECT_EQ(m_last.body, "bytes");
    response.status = 404;
    EXPECT_EQ(run(m_platform->get("none")).error().kind, ErrorKind::NotFound);
    EXPECT_EQ(m_platform->counters().failures, 0U);
}

} // namespace
} // namespace snipestall::platform
