#pragma once

#include "standin_store.hpp"
#include "test_backend.hpp"

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

/// The gateway's whole path on loopback: a caller, the gateway, a stand-in of the store, and two
/// plain HTTP servers as backend servers. Everything runs on one loop; nothing depends on how long
/// it takes.
class GatewayPathTest : public testing::Test
{
protected:
    explicit GatewayPathTest(std::chrono::milliseconds startWait = std::chrono::milliseconds(10))
    {
        GatewaySettings settings;
        settings.instance = "edge-1";
        settings.dataCentre = "east";
        settings.firstStart = true;
        settings.address = "127.0.0.1";
        settings.bounds.retrySlack = 60;
        settings.startWait = startWait;
        settings.store = m_store.endpoint();
        settings.duties = m_store.endpoint();
        // Another process may take a port between its choice and its use.
        constexpr int MostTries = 20;
        for (int i = 0; i < MostTries && !m_gateway; ++i)
            create(settings);
        m_gateway->start();
    }

    void create(GatewaySettings settings)
    {
        settings.callers = { "127.0.0.1", freePort() };
        settings.readiness = { "127.0.0.1", freePort() };
        settings.peerPort = freePort();
        settings.metricsPort = freePort();
        m_callers = settings.callers;
        m_readiness = settings.readiness;
        m_metrics = { "127.0.0.1", settings.metricsPort };
        auto gateway = Gateway::create(m_io, std::move(settings));
        if (gateway)
            m_gateway = std::move(*gateway);
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
        m_io.run_for(std::chrono::seconds(60));
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
    wire::Task<void> untilServing()
    {
        while (true) {
            const wire::HttpResponse page = co_await fetch(m_metrics, "/metrics");
            if (page.body.find("snipestall_gateway_servers 2") != std::string::npos)
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

    boost::asio::io_context m_io { 1 };
    platform::StandinStore m_store { m_io };
    TestBackend m_first { m_io, "i-1" };
    TestBackend m_second { m_io, "i-2" };
    wire::HttpClient m_client { m_io };
    wire::Endpoint m_callers;
    wire::Endpoint m_readiness;
    wire::Endpoint m_metrics;
    int m_attempts = 0;
    std::unique_ptr<Gateway> m_gateway;
};

} // namespace snipestall::gateway
