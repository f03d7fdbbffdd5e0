#include "snipestall/peer/steward.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/peer/steward_lease.hpp"
#include "snipestall/platform/table_service.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace snipestall::peer {

using platform::RowKey;
using std::chrono::milliseconds;
using wire::Task;

struct Steward::State : std::enable_shared_from_this<State>
{
    State(boost::asio::io_context &context, platform::TableService &service, const Clock &source,
          StewardLease rules, StewardOptions chosen, std::uint64_t seed)
        : io(context)
        , table(service)
        , clock(source)
        , lease(std::move(rules))
        , options(chosen)
        , random(seed)
        , timer(context)
    { }

    Task<void> run();
    Task<void> runRound();
    Task<void> releaseLease();
    void logChange();
    milliseconds nextDelay();

    boost::asio::io_context &io;
    platform::TableService &table;
    const Clock &clock;
    StewardLease lease;
    StewardOptions options;
    Random random;
    boost::asio::steady_timer timer;
    bool running = false;
    bool stopping = false;
    bool loggedHeld = false;
};

Task<void> Steward::State::run()
{
    const auto self = shared_from_this();
    while (!stopping) {
        co_await runRound();
        if (stopping)
            break;
        logChange();
        timer.expires_after(nextDelay());
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    running = false;
}

Task<void> Steward::State::runRound()
{
    std::vector<RowKey> keys { lease.rowKey() };
    const auto rows = co_await table.read(std::move(keys));
    // While the table is down the lease is not renewed and expires.
    if (!rows || stopping)
        co_return;
    lease.observe(rows->empty() ? nullptr : &rows->front(), clock.steadyNow());
    auto transaction = lease.nextWrite(clock.steadyNow());
    if (!transaction)
        co_return;
    const auto outcome = co_await table.transact(std::move(*transaction));
    if (!stopping)
        lease.writeCompleted(outcome);
}

/// The renewal interval, shortened at random by up to a quarter. Otherwise the instances of a data
/// centre that were started together would always call the table at the same time.
milliseconds Steward::State::nextDelay()
{
    const auto quarter = static_cast<std::uint64_t>(options.renewInterval.count()) / 4;
    const auto jitter = static_cast<std::int64_t>(random.below(quarter + 1));
    return options.renewInterval - milliseconds(jitter);
}

void Steward::State::logChange()
{
    const bool held = lease.held(clock.steadyNow());
    if (held == loggedHeld)
        return;
    loggedHeld = held;
    logEvent(held ? events::StewardLeaseTaken : events::StewardLeaseLost,
             { { "data_centre", lease.rowKey().key },
               { "fencing", std::to_string(lease.fencingToken()) } });
}

Task<void> Steward::State::releaseLease()
{
    const auto self = shared_from_this();
    stopping = true;
    timer.cancel();
    // The version of the row after the last renewal is known only after a read.
    std::vector<RowKey> keys { lease.rowKey() };
    const auto rows = co_await table.read(std::move(keys));
    if (!rows || rows->empty())
        co_return;
    lease.observe(&rows->front(), clock.steadyNow());
    auto transaction = lease.release();
    if (!transaction)
        co_return;
    // The result is ignored, because the lease expires anyway if the row was not written.
    co_await table.transact(std::move(*transaction));
}

std::unique_ptr<Steward> Steward::create(boost::asio::io_context &io, platform::TableService &table,
                                         const Clock &clock, std::string dataCentre,
                                         std::string instance, std::uint64_t incarnation,
                                         StewardOptions options)
{
    const std::string started = std::to_string(clock.wallNow().time_since_epoch().count());
    const std::string prefix = instance + "." + std::to_string(incarnation) + "." + started;
    StewardLease lease(std::move(dataCentre), std::move(instance), incarnation, options, prefix);
    auto state =
        std::make_shared<State>(io, table, clock, std::move(lease), options, stableHash(prefix));
    return std::unique_ptr<Steward>(new Steward(std::move(state)));
}

Steward::Steward(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

Steward::~Steward()
{
    m_state->stopping = true;
    m_state->timer.cancel();
}

void Steward::start()
{
    if (std::exchange(m_state->running, true))
        return;
    wire::spawn(
        m_state->io, [state = m_state] { return state->run(); }, "steward");
}

Task<void> Steward::stop()
{
    const auto state = m_state;
    co_await state->releaseLease();
}

std::optional<std::uint64_t> Steward::mayOrder() const
{
    if (m_state->stopping)
        return std::nullopt;
    return m_state->lease.mayOrder(m_state->clock.steadyNow());
}

} // namespace snipestall::peer
