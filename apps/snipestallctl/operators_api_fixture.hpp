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
inline constexpr const char *AylaKey = "example-operator-ayla";
/// Reports a fixed status of one instance.
class FakeStatusSource final : public admin::StatusSource
{
public:
    [[nodiscard]] admin::InstanceStatus status() const override
    {
        admin::InstanceStatus status;
        status.instance = "samsun-1";
        status.dataCentre = "samsun-hall";
        status.settingsVersion = settingsKeeper ? settingsKeeper->version() : 0;
        status.queues.push_back({ "language", 2, 5, std::chrono::milliseconds(30) });
        return status;
    }

    /// The keeper whose version is reported. If null, version 0 is reported, as by an instance that
    /// did not receive the change.
    const peer::SettingsKeeper *settingsKeeper = nullptr;
};

/// Fixture with a real operators' API on loopback, over a table in memory.
class OperatorsApiFixture : public testing::Test
{
protected:
    OperatorsApiFixture()
        : m_server([this](wire::HttpExchange &exchange) { return m_handler(exchange); })
    {
        admin::AdminApi::Dependencies dependencies;
        dependencies.store = &m_store;
        dependencies.keeper = &m_keeper;
        dependencies.status = &m_status;
        dependencies.clock = &m_clock;
        dependencies.metrics = m_metrics->registry();
        dependencies.drain = [this] { ++m_drains; };
        dependencies.bootstrapKeyHash = settings::sha256Hex(BootstrapKey);
        m_api = admin::AdminApi::create(std::move(dependencies)).value();
        m_handler = m_api->handler();
        m_options.servers = { m_server.endpoint() };
        m_options.key = BootstrapKey;
    }

    SystemClock m_clock;
    FakeStatusSource m_status;
    peer::SettingsKeeper m_keeper { "samsun-hall" };
    std::unique_ptr<admin::Metrics> m_metrics = admin::Metrics::create();
    boost::asio::io_context m_tableIo;
    platform::FakeTableService m_table { m_tableIo };
    peer::SettingsStore m_store { m_table, m_clock };
    int m_drains = 0;
    std::unique_ptr<admin::AdminApi> m_api;
    wire::HttpServer::Handler m_handler;
    TestServer m_server;
    Options m_options;
};

} // namespace snipestall::ctl
