// Tests of a part of prompts that crashes every server that begins to write an answer on it, over
// the whole path on loopback.

#include "gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;
using Time = std::chrono::steady_clock::time_point;

constexpr auto CrashingPart = "bad0bad0";
constexpr std::size_t Servers = 20;
/// A server that has ended is back after this time, as another one.
constexpr std::chrono::milliseconds RestartTime { 500 };
/// After the fifth end, all instances have this time to learn of it; then few more requests with
/// the part may reach servers.
constexpr std::size_t EndsThatAreEnough = 5;
constexpr std::chrono::seconds ContactTime { 3 };
constexpr std::size_t MaxLaterRequests = 3;
constexpr std::chrono::milliseconds SoundInterval { 25 };
constexpr std::chrono::milliseconds CrashingInterval { 125 };
constexpr int Sessions = 30;

class CrashingPartTest : public GatewayPathTest
{
protected:
    CrashingPartTest()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        for (std::size_t i = 0; i < Servers; ++i)
            addServer();
        m_entries.push_back(m_callers);
        m_entryMetrics.push_back(m_metrics);
        for (const char *name : { "edge-2", "edge-3" })
            addEntry(startInstance(settingsOf(name)));
    }

    void addEntry(Instance instance)
    {
        m_entries.push_back(instance.callers);
        m_entryMetrics.push_back(instance.metrics);
        m_others.push_back(std::move(instance));
    }

    void addServer()
    {
        const std::string id = "s-" + std::to_string(m_servers.size() + 1);
        m_servers.push_back(std::make_unique<TestBackend>(m_io, id));
        m_servers.back()->behave(TestBackend::Behaviour::StreamRest);
        m_servers.back()->endOnPart(CrashingPart);
        m_serverStore->put({ "servers", "", id }, m_servers.back()->entry());
    }

    Task<void> untilAllServing()
    {
        for (const wire::Endpoint &metrics : m_entryMetrics)
            co_await untilMetric(metrics, "snipestall_gateway_versions_pending", 0);
        // The instances have exchanged reports.
        co_await wire::sleepFor(1s);
    }

    /// Sends a request whose prompt has these parts and one of its own.
    Task<unsigned> send(std::string parts)
    {
        ++m_sent;
        wire::HttpRequest request;
        request.method = "POST";
        request.target = "/again/x";
        request.body = "prompt " + std::to_string(m_sent);
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", "attempt-" + std::to_string(m_sent));
        request.fields.set("X-Deadline-Ms", "5000");
        request.fields.set("Authorization", "Bearer secret");
        request.fields.set("X-Model-Name", "m");
        request.fields.set("X-Token-Count", "100,20");
        request.fields.set("X-Prompt-Prefix", parts + ",f" + std::to_string(m_sent) + ":10");
        const auto response =
            co_await m_client.fetch(m_entries[m_sent % m_entries.size()], std::move(request));
        co_return response ? response->status : 0;
    }

    Task<void> sendSound()
    {
        for (int i = 0; !m_stopped; ++i) {
            boost::asio::co_spawn(m_io, sendSoundOnce(i % Sessions), boost::asio::detached);
            co_await wire::sleepFor(SoundInterval);
        }
    }

    Task<void> sendSoundOnce(int session)
    {
        ++m_running;
        const bool late = std::chrono::steady_clock::now() >= m_countFrom;
        const unsigned status = co_await send("a0:40,b" + std::to_string(session) + ":20");
        m_sound += late ? 1 : 0;
        m_soundServed += late && status == 200 ? 1 : 0;
        --m_running;
    }

    Task<void> sendCrashing()
    {
        while (!m_stopped) {
            boost::asio::co_spawn(m_io, sendCrashingOnce(), boost::asio::detached);
            co_await wire::sleepFor(CrashingInterval);
        }
    }

    Task<void> sendCrashingOnce()
    {
        ++m_running;
        m_lastCrashingStatus = co_await send(std::string("a0:40,") + CrashingPart + ":20");
        --m_running;
    }

    /// Takes servers that have ended off the list and adds others in their place.
    Task<void> replaceEnded()
    {
        while (!m_stopped) {
            co_await wire::sleepFor(RestartTime);
            const std::size_t before = m_servers.size();
            for (std::size_t i = 0; i < before; ++i) {
                if (!m_servers[i]->ended() || !m_replaced.insert(i).second)
                    continue;
                m_serverStore->remove({ "servers", "", m_servers[i]->id() });
                addServer();
            }
        }
    }

    /// Sends requests for some time, sound ones and such that have the crashing part.
    Task<void> sendFor(std::chrono::milliseconds length)
    {
        m_stopped = false;
        m_countFrom = std::chrono::steady_clock::now() + 2 * ContactTime;
        boost::asio::co_spawn(m_io, sendSound(), boost::asio::detached);
        boost::asio::co_spawn(m_io, sendCrashing(), boost::asio::detached);
        boost::asio::co_spawn(m_io, replaceEnded(), boost::asio::detached);
        co_await wire::sleepFor(length);
        m_stopped = true;
        while (m_running > 0)
            co_await wire::sleepFor(10ms);
        co_await wire::sleepFor(RestartTime);
    }

    /// Times at which requests with the crashing part reached servers.
    [[nodiscard]] std::vector<Time> crashingArrivals() const
    {
        std::vector<Time> times;
        for (const auto &server : m_servers) {
            for (std::size_t i = 0; i < server->ran().size(); ++i) {
                const auto parts = server->ran()[i].fields.find("X-Prompt-Prefix").value_or("");
                if (parts.find(CrashingPart) != std::string::npos)
                    times.push_back(server->arrivals()[i]);
            }
        }
        std::ranges::sort(times);
        return times;
    }

    /// Goes on with instances that know what the store has kept, and no other instance.
    void replaceAllInstances()
    {
        for (const char *table : { "op", "servers", "stream-versions", "blocked-parts" }) {
            for (const platform::StoredRow &row : m_store.rowsOf(table))
                m_laterStore.put(row.name, row.value);
        }
        m_serverStore = &m_laterStore;
        m_entries.clear();
        m_entryMetrics.clear();
        for (const char *name : { "edge-7", "edge-8", "edge-9" }) {
            GatewaySettings settings = settingsOf(name);
            settings.firstStart = false;
            settings.store = m_laterStore.endpoint();
            settings.duties = m_laterStore.endpoint();
            addEntry(startInstance(settings));
        }
    }

    std::vector<std::unique_ptr<TestBackend>> m_servers;
    platform::StandinStore m_laterStore { m_io };
    platform::StandinStore *m_serverStore = &m_store;
    std::set<std::size_t> m_replaced;
    std::deque<Instance> m_others;
    /// Instances that get the requests, in turn.
    std::vector<wire::Endpoint> m_entries;
    std::vector<wire::Endpoint> m_entryMetrics;
    bool m_stopped = false;
    int m_running = 0;
    std::size_t m_sent = 0;
    Time m_countFrom;
    int m_sound = 0;
    int m_soundServed = 0;
    unsigned m_lastCrashingStatus = 0;
};

// Guards against one server after the other that ends: different requests, which come at all
// instances, have one part of their prompts in common, and each instance knows crashing requests
// only by what is the same in the whole request.
TEST_F(CrashingPartTest, FewRequestsReachServersOnceFiveHaveEnded)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        co_await sendFor(10s);
        const std::vector<Time> arrivals = crashingArrivals();
        EXPECT_GE(arrivals.size(), 3U) << "the part has crashed no servers";
        std::size_t later = 0;
        if (arrivals.size() > EndsThatAreEnough) {
            const Time bound = arrivals[EndsThatAreEnough - 1] + ContactTime;
            later = static_cast<std::size_t>(
                std::ranges::count_if(arrivals, [bound](Time arrival) { return arrival > bound; }));
        }
        EXPECT_LE(later, MaxLaterRequests);
        EXPECT_EQ(m_lastCrashingStatus, 503U);
        EXPECT_GE(m_sound, 50);
        EXPECT_GE(m_soundServed, m_sound * 95 / 100) << "of " << m_sound;
    });
}

// Guards against as many crashed servers again after each kill of all instances: what was known of
// the part was in their memory only.
TEST_F(CrashingPartTest, FewRequestsReachServersAfterAllInstancesWereKilled)
{
    run([this]() -> Task<void> {
        co_await untilAllServing();
        co_await sendFor(5s);
        const std::size_t before = crashingArrivals().size();
        replaceAllInstances();
        co_await untilAllServing();
        co_await sendFor(4s);
        EXPECT_LE(crashingArrivals().size() - before, MaxLaterRequests);
        EXPECT_EQ(m_lastCrashingStatus, 503U);
    });
}

} // namespace
} // namespace snipestall::gateway
