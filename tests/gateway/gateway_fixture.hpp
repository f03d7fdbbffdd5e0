#pragma once

#include "standin_store.hpp"
#include "test_backend.hpp"
#include "test_loop.hpp"

#include "snipestall/gateway/gateway.hpp"
#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace snipestall::gateway {

inline constexpr auto GatewayTestConfig = R"({"version":3,"routes":[
 {"name":"once","host":"a.example","prefix":"/once/","routeType":"non_idempotent","timeoutMs":5000,
  "targetLatencyMs":1000,"service":"ledger","maxAttempts":1},
 {"name":"safe","host":"a.example","prefix":"/safe/","routeType":"idempotent","timeoutMs":5000,
  "targetLatencyMs":1000,"service":"ledger","maxAttempts":2},
 {"name":"solo","host":"a.example","prefix":"/solo/","routeType":"streaming","timeoutMs":30000,
  "targetLatencyMs":1000,"targetGapMs":500,"service":"ledger","maxAttempts":1},
 {"name":"again","host":"a.example","prefix":"/again/","routeType":"streaming","timeoutMs":30000,
  "targetLatencyMs":1000,"targetGapMs":500,"service":"ledger","maxAttempts":2,"streamResume":true}],
 "services":[{"name":"ledger","engine":{"slotCount":4,"kvCapacity":100000,"moves":true}}],
 "tenants":[{"name":"harbour","apiKeys":["secret"]}]})";

/// Tests the whole path of the gateway on loopback: a caller, the gateway, a stand-in of the store,
/// and two plain HTTP servers as backend servers. Everything runs on one loop, and no result
/// depends on how long it takes.
class GatewayPathTest : public testing::Test
{
protected:
    /// A gateway and the addresses at which it listens.
    struct Instance
    {
        GatewaySettings settings;
        wire::Endpoint callers;
        wire::Endpoint readiness;
        wire::Endpoint metrics;
        std::unique_ptr<Gateway> gateway;
    };

    /// `exposureShare`: part of the requests that a new version may get during a rollout.
    explicit GatewayPathTest(std::chrono::milliseconds startWait = std::chrono::milliseconds(10),
                             double exposureShare = 0,
                             std::chrono::milliseconds usageWindow = std::chrono::seconds(5))
        : m_exposureShare(exposureShare)
        , m_usageWindow(usageWindow)
    {
        GatewaySettings settings = settingsOf("edge-1");
        settings.startWait = startWait;
        Instance instance = startInstance(settings);
        m_settings = instance.settings;
        m_callers = instance.callers;
        m_readiness = instance.readiness;
        m_metrics = instance.metrics;
        m_gateway = std::move(instance.gateway);
    }

    void TearDown() override { m_io.destroyTasks(); }

    GatewaySettings settingsOf(std::string instance)
    {
        GatewaySettings settings;
        settings.instance = std::move(instance);
        settings.dataCentre = "east";
        settings.firstStart = true;
        settings.address = "127.0.0.1";
        settings.bounds.retrySlack = 60;
        settings.bounds.exposureShare = m_exposureShare;
        settings.bounds.exposureTolerance = 50;
        settings.bounds.usageWindow = m_usageWindow;
        settings.store = m_store.endpoint();
        settings.duties = m_store.endpoint();
        return settings;
    }

    Instance startInstance(GatewaySettings settings)
    {
        // Retries because another process may take a port between its choice and its use.
        constexpr int MaxTries = 20;
        Instance instance;
        for (int i = 0; i < MaxTries && !instance.gateway; ++i) {
            settings.callers = { "127.0.0.1", freePort() };
            settings.readiness = { "127.0.0.1", freePort() };
            settings.peerPort = freePort();
            settings.forwardPort = freePort();
            settings.metricsPort = freePort();
            auto gateway = Gateway::create(m_io, settings);
            if (gateway)
                instance.gateway = std::move(*gateway);
        }
        instance.settings = settings;
        instance.callers = settings.callers;
        instance.readiness = settings.readiness;
        instance.metrics = { "127.0.0.1", settings.metricsPort };
        instance.gateway->start();
        return instance;
    }

    void publish()
    {
        m_store.put({ "op", "", "config" }, GatewayTestConfig);
        for (const TestBackend *backend : { &m_first, &m_second })
            m_store.put({ "servers", "", backend->id() }, backend->entry());
    }

    void run(std::function<wire::Task<void>()> body)
    {
        bool ended = false;
        boost::asio::co_spawn(
            m_io,
            [&]() -> wire::Task<void> {
                co_await body();
                ended = true;
                m_io.stop();
            },
            boost::asio::detached);
        // Restarts the loop because a gateway that shuts down ends the loop, too.
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!ended && std::chrono::steady_clock::now() < until) {
            m_io.run_until(until);
            m_io.restart();
        }
        EXPECT_TRUE(ended);
    }

    wire::Task<wire::HttpResponse> fetch(wire::Endpoint address, std::string target,
                                         std::string method = "GET", std::string key = "secret")
    {
        wire::HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", "attempt-" + std::to_string(++m_attempts));
        request.fields.set("X-Deadline-Ms", "5000");
        request.fields.set("Authorization", "Bearer " + key);
        auto response = co_await m_client.fetch(std::move(address), std::move(request));
        wire::HttpResponse failed;
        failed.status = 0;
        co_return response.value_or(failed);
    }

    /// Waits until the gateway knows both servers.
    wire::Task<void> untilServing() { co_await untilServing(m_metrics, 2); }

    /// Waits until the gateway with this metrics address knows `servers` servers, and may begin
    /// streams at all of them.
    wire::Task<void> untilServing(wire::Endpoint metrics, std::size_t servers)
    {
        co_await untilMetric(metrics, "snipestall_gateway_servers", servers);
        co_await untilMetric(std::move(metrics), "snipestall_gateway_versions_pending", 0);
    }

    wire::Task<void> untilMetric(wire::Endpoint metrics, std::string name, std::size_t value)
    {
        const std::string line = name + " " + std::to_string(value) + "\n";
        while (true) {
            const wire::HttpResponse page = co_await fetch(metrics, "/metrics");
            if (page.body.find(line) != std::string::npos)
                co_return;
            co_await wire::sleepFor(std::chrono::milliseconds(5));
        }
    }

    std::uint16_t freePort()
    {
        using boost::asio::ip::tcp;
        const tcp::acceptor probe(m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        return probe.local_endpoint().port();
    }

    double m_exposureShare = 0;
    std::chrono::milliseconds m_usageWindow;
    TestLoop m_io { 1 };
    platform::StandinStore m_store { m_io };
    TestBackend m_first { m_io, "i-1" };
    TestBackend m_second { m_io, "i-2" };
    wire::HttpClient m_client { m_io };
    GatewaySettings m_settings;
    wire::Endpoint m_callers;
    wire::Endpoint m_readiness;
    wire::Endpoint m_metrics;
    int m_attempts = 0;
    std::unique_ptr<Gateway> m_gateway;
};

} // namespace snipestall::gateway
