#pragma once

#include "snipestall/admin/admin_api.hpp"
#include "snipestall/admin/metrics.hpp"
#include "snipestall/admin/status_source.hpp"
#include "snipestall/base/system_clock.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/platform/fake_table_service.hpp"
#include "snipestall/settings/sha256.hpp"
#include "snipestall/wire/http_exchange.hpp"

#include "options.hpp"
#include "test_server.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace snipestall::ctl {

inline constexpr const char *BootstrapKey = "first-minute-key";
inline constexpr const char *AylasKey = "example-operator-ayla";
class OneInstance final : public admin::StatusSource
{
public:
    [[nodiscard]] admin::InstanceStatus status() const override
    {
        admin::InstanceStatus status;
        status.instance = "samsun-1";
        status.dataCentre = "samsun-hall";
        status.settingsVersion = follows ? follows->version() : 0;
        status.queues.push_back({ "language", 2, 5, std::chrono::milliseconds(30) });
        return status;
    }

    /// Whose version is told; none: an instance that stays behind.
    const peer::SettingsKeeper *follows = nullptr;
};

/// A real operators' API on loopback, over a table in memory.
class TestFleet : public testing::Test
{
protected:
    TestFleet()
        : m_server([this](wire::HttpExchange &exchange) { return m_handler(exchange); })
    {
        admin::AdminApi::Dependencies uses;
        uses.store = &m_store;
        uses.keeper = &m_keeper;
        uses.status = &m_status;
        uses.clock = &m_clock;
        uses.metrics = m_metrics->registry();
        uses.drain = [this] { ++m_drains; };
        uses.bootstrapKeyHash = settings::sha256Hex(BootstrapKey);
        m_api = admin::AdminApi::create(std::move(uses)).value();
        m_handler = m_api->handler();
        m_options.servers = { m_server.endpoint() };
        m_options.key = BootstrapKey;
    }

    SystemClock m_clock;
    OneInstance m_status;
    peer::SettingsKeeper m_keeper { "samsun-hall" };
    std::unique_ptr<admin::Metrics> m_metrics = admin::Metrics::create();
    boost::asio::io_context m_unused;
    platform::FakeTableService m_table { m_unused };
    peer::SettingsStore m_store { m_table, m_clock };
    int m_drains = 0;
    std::unique_ptr<admin::AdminApi> m_api;
    wire::HttpServer::Handler m_handler;
    TestServer m_server;
    Options m_options;
};

} // namespace snipestall::ctl
