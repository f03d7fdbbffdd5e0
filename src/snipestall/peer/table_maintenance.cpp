#include "snipestall/peer/table_maintenance.hpp"

#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace snipestall::peer {

struct TableMaintenance::State : std::enable_shared_from_this<State>
{
    State(boost::asio::io_context &context, ClaimKeeper &keeper, SettingsStore &store,
          std::function<bool()> allowed, TableMaintenanceOptions chosen)
        : io(context)
        , claims(keeper)
        , settings(store)
        , mayRun(std::move(allowed))
        , options(chosen)
        , timer(context)
    { }

    wire::Task<void> run();

    boost::asio::io_context &io;
    ClaimKeeper &claims;
    SettingsStore &settings;
    std::function<bool()> mayRun;
    TableMaintenanceOptions options;
    boost::asio::steady_timer timer;
    bool stopped = false;
};

wire::Task<void> TableMaintenance::State::run()
{
    const auto self = shared_from_this();
    while (!stopped) {
        timer.expires_after(options.interval);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        // A failed removal is left to the next round, because nothing depends on it.
        if (!stopped && mayRun())
            co_await claims.removeExpired();
        if (!stopped && mayRun())
            co_await settings.removeOld(options.keepVersions);
    }
}

std::unique_ptr<TableMaintenance>
TableMaintenance::create(boost::asio::io_context &io, ClaimKeeper &claims, SettingsStore &settings,
                         std::function<bool()> mayRun, TableMaintenanceOptions options)
{
    auto state = std::make_shared<State>(io, claims, settings, std::move(mayRun), options);
    return std::unique_ptr<TableMaintenance>(new TableMaintenance(std::move(state)));
}

TableMaintenance::TableMaintenance(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

TableMaintenance::~TableMaintenance()
{
    m_state->stopped = true;
    m_state->timer.cancel();
}

void TableMaintenance::start()
{
    wire::spawn(
        m_state->io, [state = m_state] { return state->run(); }, "table-maintenance");
}

} // namespace snipestall::peer
