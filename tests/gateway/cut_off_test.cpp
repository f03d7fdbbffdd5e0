// Tests of an instance that is cut off from all backend servers, over the whole path on loopback.

#include "gateway_fixture.hpp"
#include "test_link.hpp"

#include "snipestall/gateway/instance_row.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

/// Time after the beginning of a cut from which on callers of the instance are served.
constexpr std::chrono::seconds ContactTime { 3 };
constexpr int Requests = 60;

/// Two instances. The second one reaches the servers through links that can be cut, so it has a
/// store of its own, with the same rows but for the addresses of the servers.
class CutOffTest : public GatewayPathTest
{
protected:
    CutOffTest()
    {
        publish();
        m_cutStore.put({ "op", "", "config" }, GatewayTestConfig);
        for (const TestBackend *backend : { &m_first, &m_second }) {
            const wire::Endpoint server = *wire::Endpoint::parse(backend->address());
            m_links.push_back(std::make_unique<TestLink>(m_io, server));
            std::string entry = backend->entry();
            boost::algorithm::replace_first(entry, backend->address(),
                                            m_links.back()->endpoint().toString());
            m_cutStore.put({ "servers", "", backend->id() }, entry);
        }
        GatewaySettings settings = settingsOf("edge-2");
        settings.store = m_cutStore.endpoint();
        settings.duties = m_cutStore.endpoint();
        m_cut = startInstance(settings);
        introduce(m_store, m_cut.settings);
        introduce(m_cutStore, m_settings);
    }

    static void introduce(platform::StandinStore &store, const GatewaySettings &instance)
    {
        const InstanceRow row { instance.dataCentre,
                                instance.address + ":" + std::to_string(instance.peerPort) };
        store.put({ "instances", "", instance.instance }, encodeInstance(row));
    }

    /// Waits until both instances serve, and have exchanged reports for a while.
    Task<void> untilAllServing()
    {
        co_await untilServing();
        co_await untilServing(m_cut.metrics, 2);
        co_await wire::sleepFor(2s);
    }

    void cut(TestLink::Cut kind)
    {
        for (const auto &link : m_links)
            link->cut(kind);
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
        });
    }

    platform::StandinStore m_cutStore { m_io };
    std::vector<std::unique_ptr<TestLink>> m_links;
    Instance m_cut;
};

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

} // namespace
} // namespace snipestall::gateway
