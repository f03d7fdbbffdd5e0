#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace snipestall::peer {

class ClaimKeeper;
class SettingsStore;

/// Rate and retention of TableMaintenance.
struct TableMaintenanceOptions
{
    /// Time between rounds. Each round removes one batch of claims and one of settings versions.
    /// With ten data centres and rounds of 10 s that is two transactions a second in total.
    std::chrono::milliseconds interval { 10000 };
    /// Number of settings versions to keep, for rollback and rebase: about one day at 15,000
    /// changes a day.
    std::uint64_t keepVersions = 15000;
};

/// Removes expired rows from the platform's table, a batch at a time, while `mayRun` returns true.
/// Only the steward's instance should do this.
///
///     auto maintenance = TableMaintenance::create(
///         io, claims, settings, [&] { return steward.mayOrder().has_value(); });
///     maintenance->start();
class TableMaintenance
{
public:
    static std::unique_ptr<TableMaintenance> create(boost::asio::io_context &io,
                                                    ClaimKeeper &claims, SettingsStore &settings,
                                                    std::function<bool()> mayRun,
                                                    TableMaintenanceOptions options = {});
    /// Stops the maintenance. It must be destroyed before the objects passed to create().
    ~TableMaintenance();

    void start();

private:
    struct State;
    explicit TableMaintenance(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
