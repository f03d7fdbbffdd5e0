#include "snipestall/peer/table_maintenance.hpp"

#include "snipestall/base/manual_clock.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/platform/fake_table_service.hpp"
#include "snipestall/platform/run_task.hpp"

#include <gtest/gtest.h>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;
using namespace snipestall::platform;

// Every instance of a data centre runs the loop, but only the steward's may remove rows. 32
// instances that remove the same rows would use up the table's writes for conflicts with each
// other.
TEST(TableMaintenanceTest, RemovesExpiredRowsOnlyWhereAllowed)
{
    boost::asio::io_context io;
    ManualClock clock;
    FakeTableService table(io);
    SettingsStore settings(table, clock);
    const auto claims = ClaimKeeper::create(io, table, clock, "samsun-1");
    ClaimRequest request { { "kiyi", "ledger", "k" }, "r", "a", "b", clock.steadyNow() + 1min };
    runTask(io, claims->claim(std::move(request)));
    clock.advance(26h);

    bool isSteward = false;
    int asked = 0;
    TableMaintenanceOptions options;
    options.interval = 1ms;
    const auto mayRun = [&] {
        ++asked;
        return isSteward;
    };
    const auto maintenance = TableMaintenance::create(io, *claims, settings, mayRun, options);
    maintenance->start();
    runUntil(io, [&] { return asked >= 4; });
    EXPECT_EQ(table.rowCount("claims"), 1U);
    isSteward = true;
    runUntil(io, [&] { return table.rows.empty(); });
    EXPECT_EQ(claims->counters().rowsExpired, 1U);
}

} // namespace
} // namespace snipestall::peer
