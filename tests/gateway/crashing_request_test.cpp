// Tests of a request that crashes every server that runs it, over the whole path on loopback.

#include "gateway_fixture.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using Behaviour = TestBackend::Behaviour;
using wire::Task;

constexpr std::size_t Servers = 8;
/// A request that was in flight at this many servers when they crashed is not run again.
constexpr int MaxCrashedServers = 3;

class CrashingRequestTest : public GatewayPathTest
{
protected:
    CrashingRequestTest()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        for (std::size_t i = 1; i <= Servers; ++i) {
            m_servers.push_back(std::make_unique<TestBackend>(m_io, "s-" + std::to_string(i)));
            m_store.put({ "servers", "", m_servers.back()->id() }, m_servers.back()->entry());
        }
    }

    void behave(Behaviour behaviour)
    {
        for (const auto &server : m_servers)
            server->behave(behaviour);
    }

    [[nodiscard]] int ended() const
    {
        return static_cast<int>(
            std::ranges::count_if(m_servers, [](const auto &server) { return server->ended(); }));
    }

    std::vector<std::unique_ptr<TestBackend>> m_servers;
};

// Guards against a request that crashes one server after the other: one caller repeats it a second
// apart, and there is no other traffic. A broken connection was counted as a crash only once the
// same server had refused another request, and no other request was sent there.
TEST_F(CrashingRequestTest, RepeatedByItsCallerItEndsThreeServersWithoutOtherTraffic)
{
    behave(Behaviour::End);
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, Servers);
        for (int i = 0; i < 6; ++i) {
            co_await fetch(m_callers, "/once/x", "POST");
            co_await wire::sleepFor(std::chrono::milliseconds(100));
        }
        EXPECT_LE(ended(), MaxCrashedServers);
    });
}

// Guards against the same with an idempotent request, each submission of which is run by two
// servers. The count of crashes is checked when the request arrives, and again before its second
// run.
TEST_F(CrashingRequestTest, ItsOwnRepeatsCountBeforeTheNextOneIsSent)
{
    behave(Behaviour::End);
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, Servers);
        for (int i = 0; i < 4; ++i)
            co_await fetch(m_callers, "/safe/x", "POST");
        EXPECT_LE(ended(), MaxCrashedServers);
    });
}

// Guards against a crash that is not counted because the caller has begun to read the answer: the
// prompt crashes its server after some tokens.
TEST_F(CrashingRequestTest, AServerThatEndsInMidStreamCounts)
{
    behave(Behaviour::EndAfterEvents);
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, Servers);
        for (int i = 0; i < 6; ++i)
            co_await fetch(m_callers, "/solo/x", "POST");
        EXPECT_LE(ended(), MaxCrashedServers);
    });
}

// Guards against as many crashed servers as there are instances: one caller sends the same request
// to every instance at the same moment, and each instance sends it to a server of its own choice
// before any instance can have reported the crash to the others.
TEST_F(CrashingRequestTest, CopiesAtSeveralInstancesAtOnceEndThreeServers)
{
    constexpr std::size_t Others = 5;
    std::vector<Instance> others;
    others.reserve(Others);
    for (std::size_t i = 0; i < Others; ++i)
        others.push_back(startInstance(settingsOf("edge-" + std::to_string(i + 2))));
    behave(Behaviour::End);
    run([&]() -> Task<void> {
        co_await untilServing(m_metrics, Servers);
        for (const Instance &instance : others)
            co_await untilServing(instance.metrics, Servers);
        std::size_t answers = 0;
        const auto sendCopy = [&](wire::Endpoint callers) -> Task<void> {
            co_await fetch(std::move(callers), "/safe/x", "POST");
            ++answers;
        };
        for (const Instance &instance : others)
            boost::asio::co_spawn(m_io, sendCopy(instance.callers), boost::asio::detached);
        while (answers < Others)
            co_await wire::sleepFor(std::chrono::milliseconds(5));
        EXPECT_LE(ended(), MaxCrashedServers);
    });
}

// Guards against further crashed servers after each start of an instance: the others had reported
// the crashes before it started, and did not report them again.
TEST_F(CrashingRequestTest, AnInstanceThatStartsLaterLearnsWhatIsBlocked)
{
    constexpr std::chrono::milliseconds LongerThanCrashesAreRecent { 3500 };
    constexpr std::chrono::milliseconds SeveralReports { 1000 };
    behave(Behaviour::End);
    run([&]() -> Task<void> {
        co_await untilServing(m_metrics, Servers);
        for (int i = 0; i < 4; ++i)
            co_await fetch(m_callers, "/once/x", "POST");
        const int before = ended();
        EXPECT_LE(before, MaxCrashedServers);
        co_await wire::sleepFor(LongerThanCrashesAreRecent);
        GatewaySettings settings = settingsOf("edge-2");
        settings.firstStart = false;
        const Instance later = startInstance(settings);
        co_await untilServing(later.metrics, Servers);
        co_await wire::sleepFor(SeveralReports);
        for (int i = 0; i < 4; ++i)
            co_await fetch(later.callers, "/once/x", "POST");
        EXPECT_EQ(ended(), before);
    });
}

} // namespace
} // namespace snipestall::gateway
