#include "snipestall/admin/admin_api.hpp"

#include "snipestall/admin/messages.hpp"
#include "snipestall/admin/metrics.hpp"
#include "snipestall/admin/status_source.hpp"
#include "snipestall/base/manual_clock.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/platform/fake_table_service.hpp"
#include "snipestall/settings/sha256.hpp"
#include "snipestall/settings/tree.hpp"
#include "snipestall/wire/http_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace snipestall::admin {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr const char *BootstrapKey = "first-minute-key";

std::string document(const std::string &rest)
{
    return "operators:\n  ayla: {key_hashes: [" + settings::sha256Hex("key-of-ayla")
        + "]}\n  deniz: {key_hashes: [" + settings::sha256Hex("key-of-deniz") + "]}\n" + rest;
}

const std::string First = document(R"(
data_centres: {north: {share: 0.5, classes: {spot: {price_per_hour: 0.5}}}, south: {share: 0.5}}
services: {text: {models: [m]}}
customers: {kiyi: {weight: 2, services: {text: {}}}}
)");

class FixedStatus final : public StatusSource
{
public:
    [[nodiscard]] InstanceStatus status() const override
    {
        InstanceStatus status;
        status.instance = "north-1";
        status.dataCentre = "north";
        status.settingsVersion = 3;
        status.backendServers.push_back({ "engine-1", "text", "spot", "up", 8, 2 });
        status.backendServers.push_back({ "engine-2", "text", "spot", "up", 4, 4 });
        status.peers.push_back({ "north-2", "north", "up", 3, std::chrono::milliseconds(40) });
        return status;
    }
};

class Exchange final : public wire::HttpExchange
{
public:
    explicit Exchange(wire::HttpRequest request)
        : m_request(std::move(request))
    { }

    [[nodiscard]] const wire::HttpRequest &request() const override { return m_request; }
    wire::Task<void> respond(wire::HttpResponse response) override
    {
        answer = std::move(response);
        co_return;
    }
    wire::Task<void> beginStream(wire::HttpResponse) override { co_return; }
    wire::Task<void> write(std::string) override { co_return; }
    wire::Task<void> finish() override { co_return; }
    void abort() override { }
    void onPeerClosed(std::function<void()>) override { }

    wire::HttpResponse answer;

private:
    wire::HttpRequest m_request;
};

/// The operators' API of one instance, with a table that several instances can share.
struct Instance
{
    Instance(platform::TableService &table, const Clock &clock)
        : store(table, clock)
    {
        AdminApi::Dependencies dependencies;
        dependencies.store = &store;
        dependencies.keeper = &keeper;
        dependencies.status = &status;
        dependencies.clock = &clock;
        dependencies.metrics = metrics->registry();
        dependencies.drain = [this] { ++drains; };
        dependencies.bootstrapKeyHash = settings::sha256Hex(BootstrapKey);
        api = AdminApi::create(std::move(dependencies)).value();
    }

    peer::SettingsStore store;
    peer::SettingsKeeper keeper { "north" };
    FixedStatus status;
    std::unique_ptr<Metrics> metrics = Metrics::create();
    int drains = 0;
    std::unique_ptr<AdminApi> api;
};

class AdminApiTest : public testing::Test
{
protected:
    wire::HttpResponse call(Instance &instance, const std::string &method,
                            const std::string &target, const std::string &key,
                            std::string body = {})
    {
        wire::HttpRequest request { method, target, {}, std::move(body) };
        if (!key.empty())
            request.fields.set("Authorization", "Bearer " + key);
        Exchange exchange(std::move(request));
        const auto handler = instance.api->handler();
        boost::asio::co_spawn(m_io, handler(exchange), boost::asio::detached);
        m_io.restart();
        m_io.run();
        return std::move(exchange.answer);
    }

    wire::HttpResponse apply(Instance &instance, const std::string &key, std::uint64_t base,
                             const std::string &yaml)
    {
        peer::SettingsChange change { nextId(), base, "", "first", {}, yaml };
        return call(instance, "POST", "/settings/changes", key, encodeChange(change));
    }

    wire::HttpResponse set(Instance &instance, const std::string &key, std::uint64_t base,
                           const std::string &path, const std::string &value)
    {
        peer::SettingsChange change {
            nextId(), base, "mallory", "why not", { { path, value } }, {}
        };
        return call(instance, "POST", "/settings/changes", key, encodeChange(change));
    }

    std::string nextId() { return "change-" + std::to_string(++m_changes); }

    boost::asio::io_context m_io;
    ManualClock m_clock;
    platform::FakeTableService m_table { m_io };
    Instance m_north { m_table, m_clock };
    int m_changes = 0;
};

TEST_F(AdminApiTest, TheBootstrapKeyMakesTheFirstChangeAndNoOther)
{
    EXPECT_EQ(call(m_north, "GET", "/settings", "guess").status, 401);
    EXPECT_EQ(apply(m_north, BootstrapKey, 0, First).status, 200);
    EXPECT_EQ(call(m_north, "GET", "/settings", BootstrapKey).status, 401);
    EXPECT_EQ(call(m_north, "GET", "/settings", "key-of-ayla").status, 200);
    EXPECT_EQ(m_north.keeper.version(), 1U);
}

// An instance restarts while the platform's table is down, so it has no settings in force although
// some exist. If it accepted the bootstrap key, anyone who has ever learned that key could change
// any setting.
TEST_F(AdminApiTest, ARestartedInstanceNeverAcceptsTheBootstrapKey)
{
    ASSERT_EQ(apply(m_north, BootstrapKey, 0, First).status, 200);
    Instance restarted { m_table, m_clock };
    m_table.down = true;
    EXPECT_EQ(call(restarted, "GET", "/settings", BootstrapKey).status, 503);
    EXPECT_EQ(call(restarted, "GET", "/settings", "key-of-ayla").status, 503);
    m_table.down = false;
    EXPECT_EQ(call(restarted, "GET", "/settings", BootstrapKey).status, 401);
    EXPECT_EQ(call(restarted, "GET", "/settings", "key-of-ayla").status, 200);
}

TEST_F(AdminApiTest, TheAuditTrailNamesTheOperatorOfTheKey)
{
    apply(m_north, BootstrapKey, 0, First);
    m_clock.advance(std::chrono::hours(1));
    EXPECT_EQ(set(m_north, "key-of-deniz", 1, "customers/kiyi/weight", "4").status, 200);
    const auto answer =
        call(m_north, "GET", "/audit?path=customers/kiyi&since=10min", "key-of-ayla");
    const auto audit = decodeAudit(answer.body);
    ASSERT_TRUE(audit.has_value()) << answer.body;
    ASSERT_EQ(audit->records.size(), 1U);
    EXPECT_EQ(audit->records[0].who, "deniz");
    EXPECT_EQ(audit->records[0].differences[0].before, "2");
    EXPECT_EQ(audit->records[0].differences[0].after, "4");
    const auto everyone = call(m_north, "GET", "/audit?who=mallory", "key-of-ayla");
    EXPECT_TRUE(decodeAudit(everyone.body)->records.empty());
    EXPECT_EQ(call(m_north, "GET", "/audit?since=yesterday", "key-of-ayla").status, 400);
}

// Two operators read version 1 and change the same weight. The second change must not overwrite the
// first without its operator's knowledge: the refusal shows what was changed, by whom, and which
// version resulted.
TEST_F(AdminApiTest, ARefusedConcurrentChangeShowsTheConflictingOne)
{
    apply(m_north, BootstrapKey, 0, First);
    ASSERT_EQ(set(m_north, "key-of-ayla", 1, "customers/kiyi/weight", "4").status, 200);
    const auto answer = set(m_north, "key-of-deniz", 1, "customers/kiyi/weight", "1");
    EXPECT_EQ(answer.status, 409);
    const auto refused = decodeRefusal(answer.body);
    ASSERT_TRUE(refused.has_value()) << answer.body;
    EXPECT_EQ(refused->currentVersion, 2U);
    ASSERT_EQ(refused->theirs.size(), 1U);
    EXPECT_EQ(refused->theirs[0].after, "4");
    ASSERT_EQ(refused->changes.size(), 1U);
    EXPECT_EQ(refused->changes[0].who, "ayla");
    EXPECT_EQ(set(m_north, "key-of-deniz", 1, "fleet/weight", "3").status, 200);
}

TEST_F(AdminApiTest, FaultsAreAllReturnedAndNothingIsApplied)
{
    apply(m_north, BootstrapKey, 0, First);
    const auto answer = set(m_north, "key-of-ayla", 1, "customers/kiyi", "{weight: -1, limit: 2}");
    EXPECT_EQ(answer.status, 422);
    EXPECT_EQ(decodeRefusal(answer.body)->faults.size(), 2U);
    EXPECT_EQ(m_north.keeper.version(), 1U);
    EXPECT_EQ(call(m_north, "POST", "/settings/changes", "key-of-ayla", "{").status, 400);
}

TEST_F(AdminApiTest, InvalidIdsAndReasonsAreRefused)
{
    apply(m_north, BootstrapKey, 0, First);
    const std::vector<std::pair<std::string, std::string>> wrong {
        { "", "fine" },
        { "../head", "fine" },
        { std::string(65, 'a'), "fine" },
        { "fine", "\x1b[2Jnothing to see" },
        { "fine", std::string(501, 'a') },
    };
    for (const auto &[id, reason] : wrong) {
        peer::SettingsChange change { id, 1, "", reason, { { "fleet/weight", "3" } }, {} };
        const auto body = encodeChange(change);
        EXPECT_EQ(call(m_north, "POST", "/settings/changes", "key-of-ayla", body).status, 400);
    }
    EXPECT_EQ(m_north.keeper.version(), 1U);
}

// The table commits a change, its answer is lost, and then the table goes down. The operator must
// be informed that the outcome is unknown, not that the change was refused. A repeat with the same
// id must find the change and not apply it again.
TEST_F(AdminApiTest, AnUnknownOutcomeIsSettledByTheSameId)
{
    apply(m_north, BootstrapKey, 0, First);
    peer::SettingsChange change { "lost", 1, "", "", { { "fleet/weight", "3" } }, {} };
    const std::string body = encodeChange(change);
    m_table.answersToLose = 1;
    m_table.beforeAnswer = [this] { m_table.down = true; };
    EXPECT_EQ(call(m_north, "POST", "/settings/changes", "key-of-ayla", body).status, 504);
    EXPECT_EQ(call(m_north, "POST", "/settings/changes", "key-of-ayla", body).status, 503);
    m_table.beforeAnswer = nullptr;
    m_table.down = false;
    const auto settled = call(m_north, "POST", "/settings/changes", "key-of-ayla", body);
    EXPECT_EQ(settled.status, 200);
    EXPECT_EQ(decodeAccepted(settled.body)->version, 2U);
}

TEST_F(AdminApiTest, WhileTheTableIsDownTheSettingsInForceAreShown)
{
    apply(m_north, BootstrapKey, 0, First);
    m_table.down = true;
    const auto answer = call(m_north, "GET", "/settings", "key-of-ayla");
    ASSERT_EQ(answer.status, 200);
    const auto settings = decodeSettings(answer.body);
    EXPECT_FALSE(settings->fromTable);
    EXPECT_EQ(settings->document.version, 1U);
    EXPECT_EQ(set(m_north, "key-of-ayla", 1, "fleet/weight", "3").status, 503);
}

TEST_F(AdminApiTest, EffectiveValuesNameTheirLevelAndUnknownNamesAre404)
{
    apply(m_north, BootstrapKey, 0, First);
    const auto answer = call(m_north, "GET", "/settings/effective?customer=kiyi", "key-of-ayla");
    const auto effective = decodeEffective(answer.body);
    ASSERT_TRUE(effective.has_value()) << answer.body;
    EXPECT_EQ(effective->dataCentre, "north");
    EXPECT_THAT(answer.body, HasSubstr("\"from\":\"customers/kiyi\""));
    EXPECT_EQ(call(m_north, "GET", "/settings/effective?customer=x", "key-of-ayla").status, 404);
    EXPECT_EQ(call(m_north, "GET", "/settings/versions/9", "key-of-ayla").status, 404);
    EXPECT_EQ(call(m_north, "GET", "/settings/versions/x", "key-of-ayla").status, 400);
    EXPECT_EQ(call(m_north, "GET", "/nothing", "key-of-ayla").status, 404);
}

TEST_F(AdminApiTest, StatusDrainAndMetrics)
{
    apply(m_north, BootstrapKey, 0, First);
    const auto status = decodeStatus(call(m_north, "GET", "/status", "key-of-ayla").body);
    ASSERT_TRUE(status.has_value());
    EXPECT_EQ(status->peers[0].name, "north-2");
    EXPECT_EQ(call(m_north, "POST", "/drain", "").status, 401);
    EXPECT_EQ(m_north.drains, 0);
    EXPECT_EQ(call(m_north, "POST", "/drain", "key-of-ayla").status, 202);
    EXPECT_EQ(m_north.drains, 1);
    const auto metrics = call(m_north, "GET", "/metrics", "");
    EXPECT_THAT(metrics.body, HasSubstr("snipestall_settings_version 3"));
    EXPECT_THAT(metrics.body, HasSubstr("snipestall_slots{service=\"text\"} 12"));
    EXPECT_THAT(metrics.body, HasSubstr("snipestall_cost_units_per_hour{service=\"text\"} 1\n"));
    EXPECT_THAT(metrics.body, Not(HasSubstr("kiyi")));
}

} // namespace
} // namespace snipestall::admin
