// Tests the procedures of docs/OPERATIONS.md that lead from a failed request's id to its cause.
// Each failure is produced with real processes; the gateway's log must have the lines that the page
// names.

#include "soak/deployment.hpp"

#include "harness/wait_until.hpp"

#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/http_stream.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace snipestall::soak {
namespace {

using namespace std::chrono_literals;
using wire::Task;

constexpr std::size_t BackendsPerService = 2;

class OperationsTest : public testing::Test
{
protected:
    OperationsTest() { m_deployment.waitUntilReady(); }

    void run(std::function<Task<void>()> body)
    {
        boost::asio::co_spawn(
            m_io,
            [this, &body]() -> Task<void> {
                co_await body();
                m_io.stop();
            },
            boost::asio::detached);
        m_io.run();
    }

    Task<Result<std::unique_ptr<wire::HttpStream>>> open(std::string target, std::string attempt,
                                                         std::string resumes = {})
    {
        wire::HttpRequest request;
        request.method = "POST";
        request.target = std::move(target);
        request.body = "x";
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", std::move(attempt));
        request.fields.set("X-Deadline-Ms", "20000");
        request.fields.set("X-Token-Count", "1000,100");
        request.fields.set("Authorization", "Bearer secret");
        if (!resumes.empty()) {
            request.fields.set("Resumes", std::move(resumes));
            request.fields.set("Last-Event-Id", "1");
        }
        const wire::Endpoint gateway = m_deployment.callerEndpoint(0);
        co_return co_await m_http.open(gateway, std::move(request));
    }

    Task<int> statusOf(std::string target, std::string attempt)
    {
        const auto answer = co_await open(std::move(target), std::move(attempt));
        co_return answer ? (*answer)->head().status : 0;
    }

    /// Waits until the gateway serves this path.
    Task<void> untilServed(std::string target)
    {
        int number = 0;
        while (co_await statusOf(target, "warm-" + std::to_string(number++)) != 200)
            co_await wire::sleepFor(20ms);
    }

    /// Returns the lines of the gateway's log that contain all of these texts.
    [[nodiscard]] std::vector<std::string> lines(const std::vector<std::string> &texts) const
    {
        std::istringstream log(harness::readFile(m_deployment.directory() + "/gateway-0.log"));
        std::vector<std::string> found;
        std::string line;
        while (std::getline(log, line)) {
            const bool all =
                std::all_of(texts.begin(), texts.end(), [&line](const std::string &text) {
                    return line.find(text) != std::string::npos;
                });
            if (all)
                found.push_back(line);
        }
        return found;
    }

    bool logHolds(const std::vector<std::string> &texts) const
    {
        return harness::waitUntil([&] { return !lines(texts).empty(); });
    }

    void killBackend(std::size_t index)
    {
        m_deployment.begin({ FaultKind::BackendKilled, index, 0ms, 0ms });
    }

    static std::string field(const std::string &name, const std::string &value)
    {
        return "\"" + name + "\":\"" + value + "\"";
    }

    /// The servers of each service are of two software versions.
    Deployment m_deployment { { 1, BackendsPerService, 2 } };
    boost::asio::io_context m_io { 1 };
    wire::HttpClient m_http { m_io };
};

// A request is refused because all servers of its service have crashed. The request's log line must
// name the reason, and earlier lines must name the servers that were removed.
TEST_F(OperationsTest, FromARefusalToTheServersThatAreMissing)
{
    run([this]() -> Task<void> {
        co_await untilServed("/once/plain/x");
        killBackend(0);
        killBackend(1);
        while (lines({ field("name", "server-delisted"), field("server", "b0-1") }).empty()
               || lines({ field("name", "server-delisted"), field("server", "b1-1") }).empty())
            co_await wire::sleepFor(20ms);
        const int status = co_await statusOf("/once/plain/x", "refused-1");
        EXPECT_EQ(status, 503);
    });
    EXPECT_TRUE(logHolds({ field("name", "gateway-request-ended"), field("attempt", "refused-1"),
                           field("reason", "no-server"), field("sends", "0") }));
}

// A stream breaks off because its server was killed. The request's log line must say so, its only
// attempt must name the server, and the log must have lines about that server.
TEST_F(OperationsTest, FromABrokenStreamToTheServerThatCrashed)
{
    std::string broken;
    run([this, &broken]() -> Task<void> {
        co_await untilServed("/solo/plain/events");
        // A short stream may end before its server is killed.
        for (int i = 0; broken.empty(); ++i) {
            const std::string attempt = "broken-" + std::to_string(i);
            const auto stream = co_await open("/solo/plain/events", attempt);
            if (!stream || !co_await (*stream)->read())
                continue;
            killBackend(2);
            killBackend(3);
            auto more = co_await (*stream)->read();
            while (more && more->has_value())
                more = co_await (*stream)->read();
            if (!more)
                broken = attempt;
            m_deployment.end({ FaultKind::BackendKilled, 2, 0ms, 0ms });
            m_deployment.end({ FaultKind::BackendKilled, 3, 0ms, 0ms });
            m_deployment.restartEnded();
            if (broken.empty())
                co_await untilServed("/solo/plain/events");
        }
    });
    ASSERT_TRUE(logHolds({ field("attempt", broken), field("reason", "stream-broken") }));
    const auto attempts =
        lines({ field("name", "gateway-attempt-ended"), field("attempt", broken) });
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_NE(attempts.front().find(field("start", "0")), std::string::npos);
    EXPECT_NE(attempts.front().find(field("end", "2")), std::string::npos);
    const std::size_t at = attempts.front().find("\"server\":\"") + 10;
    const std::string server = attempts.front().substr(at, attempts.front().find('"', at) - at);
    EXPECT_TRUE(logHolds({ field("name", "server-listed"), field("server", server) }));
}

// A caller takes up a stream. The log must say at which version it goes on and where that is known
// from, or why it can't go on.
TEST_F(OperationsTest, FromAStreamThatIsTakenUpToWhoBeganIt)
{
    const std::string target = "/stream/plain/events";
    int known = 0;
    int unknown = 0;
    run([&]() -> Task<void> {
        co_await untilServed(target);
        const std::string begun = "begun-1";
        const std::string rest = "rest-1";
        const std::string lost = "rest-2";
        const std::string nobody = "begun-by-nobody";
        const auto first = co_await open(target, begun);
        // The first event is passed on soon after the head.
        co_await wire::sleepFor(200ms);
        known = (*co_await open(target, rest, begun))->head().status;
        unknown = (*co_await open(target, lost, nobody))->head().status;
    });
    EXPECT_EQ(known, 200);
    EXPECT_EQ(unknown, 503);
    EXPECT_TRUE(logHolds({ field("name", "stream-resumed"), field("attempt", "rest-1"),
                           field("resumes", "begun-1"), field("source", "own-record") }));
    EXPECT_TRUE(logHolds({ field("name", "stream-not-resumed"), field("attempt", "rest-2"),
                           field("reason", "unknown") }));
    EXPECT_TRUE(
        logHolds({ field("name", "gateway-request-ended"), field("attempt", "rest-2"),
                   field("resumes", "begun-by-nobody"), field("reason", "unknown-origin") }));
}

// A caller gets a 500 that the servers themselves gave. The request's log line must count two runs,
// and the log must have a line for each of the two attempts.
TEST_F(OperationsTest, FromAFailureToTheServersThatGaveIt)
{
    run([this]() -> Task<void> {
        co_await untilServed("/safe/plain/x");
        const int status = co_await statusOf("/safe/fail/x", "failed-1");
        EXPECT_EQ(status, 500);
    });
    EXPECT_TRUE(logHolds({ field("attempt", "failed-1"), field("reason", "server-failed"),
                           field("status", "500"), field("runs", "2") }));
    EXPECT_EQ(
        lines({ field("name", "gateway-attempt-ended"), field("attempt", "failed-1") }).size(), 2U);
}

} // namespace
} // namespace snipestall::soak
