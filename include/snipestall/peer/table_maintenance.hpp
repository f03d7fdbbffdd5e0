#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace snipestall::peer {

class ClaimKeeper;
class SettingsStore;

struct TableMaintenanceOptions
{
    /// One removal of claims and one of settings versions in each round. With ten data centres and
    /// rounds of 10 s that is two transactions a second in all.
    std::chrono::milliseconds every { 10000 };
    /// About a day of changes at 15,000 a day: enough to roll back to and to rebase on.
    std::uint64_t keepVersions = 15000;
};

/// Removes what has expired from the platform's table, a batch at a time, while `mayRun` says so:
/// the steward's instance does it, and no other.
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
    /// Ends it; it must go before what it was made with.
    ~TableMaintenance();

    void start();

private:
    struct State;
    explicit TableMaintenance(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
