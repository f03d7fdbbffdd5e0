#include "snipestall/gateway/store_follower.hpp"

#include "platform/listed_server.hpp"
#include "platform/operator_config.hpp"
#include "platform/rollout_document.hpp"
#include "platform/well_known_rows.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>
#include <vector>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

/// Time allowed for the answer of a long poll beyond the requested wait.
constexpr milliseconds AnswerSlack { 700 };
constexpr milliseconds ReadTimeout { 1500 };
/// Minimum time from one poll to the next, so that changes in quick succession are read together.
/// Otherwise each change would end the polls of all readers. It is far shorter than the time
/// allowed for passing on a notice of leaving.
constexpr milliseconds PollSpacing { 200 };
/// The store returns at most 500 changes at a time, of which those of one row count once. An answer
/// with at least this many rows may have been cut short.
constexpr std::size_t FullAnswerRows = 50;
/// Interval at which an instance that does not read the store checks whether it must.
constexpr milliseconds FollowTick { 50 };
constexpr milliseconds ReportDelay { 700 };
/// Pause after a failed call. A random part of up to the same length is added so that instances do
/// not call at the same time.
constexpr milliseconds RetryPause { 150 };
/// The clocks of this instance and of the servers may differ by minutes, and may jump.
constexpr std::chrono::hours LargestClockError { 1 };
/// Faulty rows are logged once each. After this many different ones they are logged again.
constexpr std::size_t MaxFaultyLogged = 200;

/// Log values, indexed by serving::PutResult::Kind.
constexpr std::array<const char *, 4> ListingNames { "added", "changed", "ignored", "returning" };

std::int64_t startedAtMillis(const serving::BackendServer &server)
{
    return std::chrono::duration_cast<milliseconds>(server.startedAt.time_since_epoch()).count();
}

} // namespace

StoreFollower::StoreFollower(GatewayState &state, platform::StoreClient &store)
    : m_state(state)
    , m_store(store)
    , m_config { TableCopy(platform::OperatorTable), &StoreFollower::configSnapshot,
                 &StoreFollower::configChange }
    , m_list { TableCopy(platform::ServerTableName), &StoreFollower::listSnapshot,
               &StoreFollower::listChange }
    , m_expiryWindow(state.settings.serverHeartbeat, state.settings.bounds.drain)
{ }

void StoreFollower::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    for (Feed *feed : { &m_config, &m_list })
        wire::spawnLoop(
            m_state.io, [this, feed] { return follow(*feed); }, "store-follower");
}

milliseconds StoreFollower::pollWait() const
{
    // A connection that no longer responds is noticed only when the wait is over. A third of the
    // time within which an instance must be in contact again leaves time to open a new connection.
    return m_state.settings.bounds.contact / 3;
}

bool StoreFollower::mustPoll(const Feed &feed) const
{
    // In addition to the wait of the readers, a report needs some intervals to reach this instance.
    return m_reader || !feed.loaded || feed.behind
        || feed.copy.age(m_state.clock.steadyNow()) > pollWait() + ReportDelay;
}

StoreFollower::Feed *StoreFollower::feedOf(const std::string &table)
{
    for (Feed *feed : { &m_config, &m_list }) {
        if (feed->loaded && feed->copy.table() == table)
            return feed;
    }
    return nullptr;
}

Result<void> StoreFollower::applyPeerChanges(const std::string &table, const TableChanges &changes)
{
    Feed *feed = feedOf(table);
    if (feed == nullptr)
        return {};
    const SteadyTime now = m_state.clock.steadyNow();
    const milliseconds age = feed->copy.age(now);
    const auto rows = feed->copy.advanceFromPeer(changes);
    if (!rows)
        return tl::unexpected<Error>(rows.error());
    if (feed == &m_list)
        m_expiryWindow.listReceived(age, now);
    for (const platform::StoredRow &row : *rows)
        (this->*feed->change)(row);
    return {};
}

void StoreFollower::confirmFromPeer(const std::string &table, std::int64_t version,
                                    milliseconds age)
{
    if (Feed *feed = feedOf(table))
        feed->copy.confirm(version, age, m_state.clock.steadyNow());
}

Task<void> StoreFollower::follow(Feed &feed)
{
    while (true) {
        if (!mustPoll(feed)) {
            co_await wire::sleepFor(FollowTick);
            continue;
        }
        const SteadyTime begun = m_state.clock.steadyNow();
        if (co_await pollOnce(feed)) {
            const auto spent =
                std::chrono::duration_cast<milliseconds>(m_state.clock.steadyNow() - begun);
            if (spent < PollSpacing && !feed.behind)
                co_await wire::sleepFor(PollSpacing - spent);
            continue;
        }
        const auto extra = static_cast<std::int64_t>(
            m_state.random.below(static_cast<std::uint64_t>(RetryPause.count())));
        co_await wire::sleepFor(RetryPause + milliseconds(extra));
    }
}

Task<bool> StoreFollower::pollOnce(Feed &feed)
{
    if (!feed.loaded) {
        feed.copy.beginRead(m_state.clock.steadyNow());
        const auto rows = co_await m_store.read(feed.copy.table(), std::string(), ReadTimeout);
        if (!rows) {
            handlePollError(feed, rows.error());
            co_return false;
        }
        handlePollAnswer(feed, rows->storeTime);
        logSkipped(feed, *rows);
        std::vector<platform::StoredRow> known = rows->rows;
        for (platform::StoredRow &removed : (this->*feed.snapshot)(*rows))
            known.push_back(std::move(removed));
        feed.copy.readWhole(known, rows->storeVersion);
        feed.loaded = true;
        feed.behind = false;
        co_return true;
    }
    const milliseconds wait = feed.behind ? milliseconds(0) : pollWait();
    const auto rows =
        co_await m_store.changes(feed.copy.table(), feed.copy.version(), wait, wait + AnswerSlack);
    if (!rows && rows.error().kind == ErrorKind::NotFound) {
        feed.loaded = false;
        co_return true;
    }
    if (!rows) {
        handlePollError(feed, rows.error());
        co_return false;
    }
    handlePollAnswer(feed, rows->storeTime);
    logSkipped(feed, *rows);
    // A peer may have passed on some of the changes meanwhile.
    for (const platform::StoredRow &row : rows->rows) {
        if (row.version > feed.copy.version())
            (this->*feed.change)(row);
    }
    feed.behind = rows->rows.size() >= FullAnswerRows;
    feed.copy.advance(rows->rows, rows->storeVersion, !feed.behind, m_state.clock.steadyNow());
    co_return true;
}

void StoreFollower::handlePollAnswer(Feed &feed, milliseconds storeTime)
{
    const SteadyTime now = m_state.clock.steadyNow();
    m_state.commonTime.observeStoreClock(storeTime, now);
    if (&feed == &m_list)
        m_expiryWindow.listReceived(feed.copy.age(now), now);
    if (!feed.storeUnavailable)
        return;
    feed.storeUnavailable = false;
    logEvent(events::StoreRegained, { { "table", feed.copy.table() } });
}

void StoreFollower::handlePollError(Feed &feed, const Error &error)
{
    if (feed.storeUnavailable)
        return;
    feed.storeUnavailable = true;
    logEvent(events::StoreLost,
             { { "table", feed.copy.table() },
               { "error", error.message },
               { "version", std::to_string(feed.copy.version()) } });
}

std::vector<platform::StoredRow> StoreFollower::configSnapshot(const platform::StoredRows &rows)
{
    for (const platform::StoredRow &row : rows.rows)
        configChange(row);
    // The operator's row is never removed.
    return {};
}

void StoreFollower::configChange(const platform::StoredRow &row)
{
    if (platform::isRolloutOrder(row.name)) {
        rolloutChange(row);
        return;
    }
    if (row.name.key != platform::ConfigKey || row.removed)
        return;
    const SteadyTime begun = m_state.clock.steadyNow();
    const auto catalogue = platform::decodeConfig(row.value);
    if (!catalogue) {
        logFault(row, catalogue.error());
        return;
    }
    if (m_state.catalogue && (*catalogue)->version() <= m_state.catalogue->version())
        return;
    m_state.catalogue = *catalogue;
    m_state.quotas.configure((*catalogue)->customers(), m_state.clock.steadyNow());
    logEvent(events::SettingsApplied,
             { { "version", std::to_string((*catalogue)->version()) },
               { "row", std::to_string(row.version) },
               { "bytes", std::to_string(row.value.size()) },
               { "decode_ms", std::to_string(toMillis(m_state.clock.steadyNow() - begun)) } });
    m_changed();
}

void StoreFollower::rolloutChange(const platform::StoredRow &row)
{
    if (!m_state.rollouts.enabled())
        return;
    if (row.removed) {
        m_state.rollouts.orderRemoved(platform::rolloutService(row.name.key));
        return;
    }
    const auto order = platform::decodeRolloutOrder(row);
    if (!order) {
        logEvent(events::RolloutOrderFaulty,
                 { { "row", row.name.key }, { "error", order.error().message } });
        return;
    }
    if (!m_state.rollouts.orderReceived(*order))
        return;
    logEvent(events::RolloutOrdered,
             { { "service", order->service },
               { "version", order->version },
               { "duration_ms", std::to_string(order->duration.count()) },
               { "order", std::to_string(order->id) } });
}

std::vector<platform::StoredRow> StoreFollower::listSnapshot(const platform::StoredRows &rows)
{
    std::set<std::string> listed;
    for (const platform::StoredRow &row : rows.rows) {
        listed.insert(row.name.key);
        listChange(row);
    }
    std::vector<platform::StoredRow> missing;
    for (const auto &[id, server] : m_state.servers.all()) {
        if (!listed.contains(id))
            missing.push_back({ { platform::ServerTableName, std::string(), id },
                                std::string(),
                                rows.storeVersion,
                                true });
    }
    for (const platform::StoredRow &row : missing)
        handleRemoval(row.name.key);
    m_state.serverListKnown = true;
    m_changed();
    return missing;
}

void StoreFollower::listChange(const platform::StoredRow &row)
{
    if (row.removed) {
        handleRemoval(row.name.key);
        return;
    }
    const SteadyTime now = m_state.clock.steadyNow();
    const auto server = readEntry(row);
    if (!server) {
        logFault(row, server.error());
        // The previous value of the row is overwritten. A running server writes its entry again
        // with its next heartbeat. A server that has left meanwhile does not, and nothing else
        // would remove this row.
        m_state.servers.markExpired(row.name.key, now + m_expiryWindow.length());
        return;
    }
    const serving::PutResult listing = m_state.servers.put(*server, now);
    m_state.rollouts.serverListed(server->service, server->version, now);
    if (listing.kind == serving::PutResult::Kind::Added)
        m_state.serverAddedAt = now;
    if (listing.ended)
        forget(*listing.ended, "restarted");
    logEvent(events::ServerListed,
             { { "server", server->id },
               { "born_ms", std::to_string(startedAtMillis(*server)) },
               { "effect", ListingNames.at(static_cast<std::size_t>(listing.kind)) },
               { "service", server->service },
               { "data_centre", server->dataCentre },
               { "leaving", server->leaving ? "yes" : "no" },
               { "leaves_in_ms",
                 server->leavesIn ? std::to_string(server->leavesIn->count()) : std::string() },
               { "reclaimable", server->reclaimable ? "yes" : "no" },
               { "software", server->version },
               { "version", std::to_string(row.version) } });
}

Result<serving::BackendServer> StoreFollower::readEntry(const platform::StoredRow &row) const
{
    auto server = platform::decodeServer(row.name.key, row.value);
    // If such an entry were accepted as the newest incarnation, it would block the real ones
    // permanently.
    if (server && server->startedAt > m_state.clock.wallNow() + LargestClockError)
        return fail(ErrorKind::InvalidArgument,
                    "server " + row.name.key + " has a start time in the future");
    return server;
}

void StoreFollower::logFault(const platform::StoredRow &row, const Error &error)
{
    if (m_faultyLogged.size() >= MaxFaultyLogged)
        m_faultyLogged.clear();
    if (!m_faultyLogged.insert(row.name.key).second)
        return;
    logEvent(events::StoreRowFaulty,
             { { "row", row.name.key },
               { "version", std::to_string(row.version) },
               { "error", row.unreadable ? "the value is not valid base64" : error.message } });
}

void StoreFollower::logSkipped(const Feed &feed, const platform::StoredRows &rows)
{
    if (rows.skipped == 0)
        return;
    logEvent(events::StoreRowFaulty,
             { { "row", feed.copy.table() },
               { "version", std::to_string(rows.storeVersion) },
               { "error", std::to_string(rows.skipped) + " rows have no readable name" } });
}

void StoreFollower::handleRemoval(const std::string &id)
{
    const SteadyTime now = m_state.clock.steadyNow();
    if (m_expiryWindow.isOpen(now)) {
        m_state.servers.markExpired(id, m_expiryWindow.until());
        return;
    }
    if (const auto gone = m_state.servers.remove(id))
        forget(*gone, "left");
}

void StoreFollower::forget(const serving::ServerState &server, const char *reason)
{
    m_state.placement.forgetServer(server.key);
    m_state.limits.forgetServer(server.key);
    m_state.slotShares.forgetServer(server.key);
    m_state.backends.drop(server.key);
    logEvent(events::ServerDelisted,
             { { "server", server.info.id },
               { "born_ms", std::to_string(startedAtMillis(server.info)) },
               { "reason", reason } });
}

void StoreFollower::updateExpiredServers()
{
    const SteadyTime now = m_state.clock.steadyNow();
    if (m_config.loaded)
        m_state.rollouts.ordersKnownAsOf(now - m_config.copy.age(now));
    for (const auto &gone : m_state.servers.removeExpired(now))
        forget(*gone, "lapsed");
    for (const auto &back : m_state.servers.readmit(now))
        logEvent(events::ServerReadmitted,
                 { { "server", back->info.id },
                   { "born_ms", std::to_string(startedAtMillis(back->info)) } });
}

} // namespace snipestall::gateway
