// Tests of backend servers that ask for rest, or say in their answers that they leave, over the
// whole path on loopback: four gateways in front of four servers.

#include "gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using wire::Task;
using Time = std::chrono::steady_clock::time_point;

/// What is on its way while the server asks for rest may still arrive within this time.
constexpr milliseconds OnItsWay { 500 };
/// Requests that may reach a server from one instance in the rest of the time.
constexpr int AllowedInRest = 2;
/// After an instance has passed on that a server leaves, requests that callers send later than this
/// may not reach the server from it.
constexpr milliseconds DrainTime { 2000 };
constexpr milliseconds RequestInterval { 8 };
constexpr double MinServed = 0.95;

Time::duration secondsIn(const std::string &rest)
{
    return std::chrono::duration_cast<Time::duration>(
        std::chrono::duration<double>(std::stod(rest)));
}

class ServerNoticeTest : public GatewayPathTest
{
protected:
    /// What a caller sent and got.
    struct Call
    {
        std::size_t entry = 0;
        Time sent;
        Time ended;
        int status = 0;
        milliseconds retryAfter { 0 };
        bool leaving = false;
    };

    ServerNoticeTest()
    {
        publish();
        for (TestBackend *backend : { &m_third, &m_fourth })
            m_store.put({ "servers", "", backend->id() }, backend->entry());
        for (const char *name : { "edge-2", "edge-3", "edge-4" }) {
            GatewaySettings settings = settingsOf(name);
            settings.serverHeartbeat = 200ms;
            m_others.push_back(startInstance(settings));
        }
        m_entries.push_back(m_callers);
        for (const Instance &instance : m_others)
            m_entries.push_back(instance.callers);
    }

    Task<void> untilAllServing()
    {
        co_await untilServing(m_metrics, m_servers.size());
        for (const Instance &instance : m_others)
            co_await untilServing(instance.metrics, m_servers.size());
    }

    Task<void> call(std::size_t entry, std::string target)
    {
        const std::string attempt = "call-" + std::to_string(m_calls.size());
        m_calls[attempt] = { entry, std::chrono::steady_clock::now(), Time::max(), 0, 0ms, false };
        wire::HttpRequest request;
        request.method = "POST";
        request.target = std::move(target);
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", attempt);
        request.fields.set("X-Deadline-Ms", "5000");
        request.fields.set("Authorization", "Bearer secret");
        const auto response = co_await m_client.fetch(m_entries[entry], std::move(request));
        Call &done = m_calls[attempt];
        done.ended = std::chrono::steady_clock::now();
        done.status = response ? response->status : 0;
        if (response) {
            const std::string wait = response->fields.find("Retry-After").value_or("0");
            done.retryAfter = milliseconds(static_cast<std::int64_t>(std::stod(wait) * 1000));
            done.leaving = response->fields.find("Server-Leaving").has_value();
        }
    }

    /// Sends requests to all instances in turn, without waiting for their answers.
    Task<void> sendFor(milliseconds length)
    {
        const Time until = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < until) {
            boost::asio::co_spawn(m_io, call(m_sent++ % m_entries.size(), "/safe/x"),
                                  boost::asio::detached);
            co_await wire::sleepFor(RequestInterval);
        }
    }

    Task<void> untilAllEnded()
    {
        while (std::ranges::any_of(
            m_calls, [](const auto &call) { return call.second.ended == Time::max(); }))
            co_await wire::sleepFor(5ms);
    }

    /// The most requests that reached a server from one instance in a rest that the server had
    /// asked it for, leaving out what was on its way. Only rests in seconds count.
    int mostInRest()
    {
        int most = 0;
        for (const TestBackend *server : m_servers) {
            for (const auto &asked : server->received()) {
                if (!asked.rest)
                    continue;
                const Time end = asked.time + secondsIn(*asked.rest);
                const auto count = std::ranges::count_if(server->received(), [&](const auto &each) {
                    return each.time > asked.time + OnItsWay && each.time < end
                        && m_calls[each.attempt].entry == m_calls[asked.attempt].entry;
                });
                most = std::max(most, static_cast<int>(count));
            }
        }
        return most;
    }

    double servedShare() const
    {
        const auto served = std::ranges::count_if(
            m_calls, [](const auto &call) { return call.second.status == 200; });
        return static_cast<double>(served) / static_cast<double>(m_calls.size());
    }

    /// Requests that reached a server which leaves although their caller sent them long after the
    /// same instance had passed on an answer in which the server said so.
    int lateAtLeaving()
    {
        int late = 0;
        for (const TestBackend *server : m_servers) {
            std::map<std::size_t, Time> passedOn;
            for (const auto &each : server->received()) {
                const Call &call = m_calls[each.attempt];
                const auto known = passedOn.find(call.entry);
                if (known != passedOn.end() && call.sent > known->second + DrainTime)
                    ++late;
                if (call.leaving && call.status == 200 && known == passedOn.end())
                    passedOn[call.entry] = call.ended;
            }
        }
        return late;
    }

    /// Removes the entry of a server and lists it again.
    Task<void> lapse(TestBackend &server, milliseconds length)
    {
        m_store.remove({ "servers", "", server.id() });
        co_await wire::sleepFor(length);
        m_store.put({ "servers", "", server.id() }, server.entry());
    }

    TestBackend m_third { m_io, "i-3" };
    TestBackend m_fourth { m_io, "i-4" };
    std::vector<TestBackend *> m_servers { &m_first, &m_second, &m_third, &m_fourth };
    std::vector<Instance> m_others;
    std::vector<wire::Endpoint> m_entries;
    std::size_t m_sent = 0;
    std::map<std::string, Call> m_calls;
};

using ServerRestTest = ServerNoticeTest;
using ServerLeavingTest = ServerNoticeTest;

// Guards against a full server that gets as many requests as before although it has asked for rest,
// and against callers that are refused although other servers are free.
TEST_F(ServerRestTest, AServerThatAsksForRestGetsNoRequestsUntilItsEnd)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        m_first.askForRest(0.6, { "3" });
        m_second.askForRest(0.6, { "1.5", "3" });
        co_await sendFor(6s);
        co_await untilAllEnded();
        EXPECT_LE(mostInRest(), AllowedInRest);
        EXPECT_GE(servedShare(), MinServed);
        EXPECT_GT(m_first.ran().size(), 1U) << "it gets requests after its rest";
    });
}

// Guards against a rest that ends with the entry of its server: the entry lapses and comes back.
TEST_F(ServerRestTest, ARestLastsWhileTheEntryOfTheServerLapses)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        m_first.askForRest(1, { "5" });
        co_await sendFor(500ms);
        boost::asio::co_spawn(m_io, lapse(m_first, 1000ms), boost::asio::detached);
        m_first.askForRest(0);
        co_await sendFor(4s);
        co_await untilAllEnded();
        EXPECT_LE(mostInRest(), AllowedInRest);
        EXPECT_GE(servedShare(), MinServed);
    });
}

// Guards against callers that come back in vain: all servers rest, and callers are told to come
// back before the first rest ends.
TEST_F(ServerRestTest, CallersAreToldWhenTheFirstRestEnds)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        for (TestBackend *server : m_servers)
            server->askForRest(1, { "2" });
        co_await sendFor(1s);
        co_await untilAllEnded();
        EXPECT_LE(mostInRest(), AllowedInRest);
        Time firstEnd = Time::max();
        for (const TestBackend *server : m_servers)
            firstEnd = std::min(firstEnd, server->received().front().time + 2s);
        int refused = 0;
        int toldTooEarly = 0;
        for (const auto &[attempt, call] : m_calls) {
            // Until then, some instances have not been asked for rest by all servers.
            if (call.sent < firstEnd - 1700ms)
                continue;
            refused += call.status == 503 ? 1 : 0;
            toldTooEarly += call.ended + call.retryAfter < firstEnd - 10ms ? 1 : 0;
            EXPECT_LE(call.retryAfter, 3s);
        }
        EXPECT_GT(refused, 10);
        EXPECT_EQ(toldTooEarly, 0) << "of " << refused;
    });
}

// Guards against requests to a server that is about to end: it says so in its answers, while its
// entry still says that it is ready, or lapses and comes back.
TEST_F(ServerLeavingTest, AServerThatSaysItLeavesGetsNoRequestsAnyMore)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        m_first.sayItLeaves();
        co_await sendFor(1s);
        boost::asio::co_spawn(m_io, lapse(m_first, 1000ms), boost::asio::detached);
        co_await sendFor(4s);
        co_await untilAllEnded();
        EXPECT_EQ(lateAtLeaving(), 0);
        EXPECT_EQ(servedShare(), 1);
    });
}

} // namespace
} // namespace snipestall::gateway
