#include "snipestall/gateway/version_registrar.hpp"

#include "duty_rows.hpp"
#include "platform/store_client.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"
#include "stream_versions_row.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto VersionsTable = "stream-versions";
constexpr auto VersionsKey = "versions";
/// Other instances wait for a random part of this before they look whether an instance that reads
/// the list has registered a new version.
constexpr milliseconds RegisterSpread { 400 };
/// The same when no version is registered at all and callers wait for the first.
constexpr milliseconds FirstSpread { 100 };
/// The list is looked at again after this time even if no server has been added.
constexpr milliseconds CheckInterval { 2000 };
constexpr milliseconds RetryPause { 150 };
constexpr milliseconds ReadTick { 2 };
constexpr std::chrono::minutes MaintainInterval { 1 };
/// Far more often than a process has to read the row to go on using its versions.
constexpr std::chrono::minutes RefreshInterval { 30 };

platform::RowName versionsRow()
{
    return { VersionsTable, std::string(), VersionsKey };
}

} // namespace

VersionRegistrar::VersionRegistrar(GatewayState &state, platform::StoreClient &store, Hooks hooks)
    : m_state(state)
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_maintainAt(state.clock.steadyNow() + MaintainInterval)
{ }

bool VersionRegistrar::mustLook(SteadyTime now)
{
    const std::size_t orders = m_state.rollouts.activeOrders().size();
    const bool due = now >= m_lookAt || m_serverAddedAt != m_state.serverAddedAt
        || m_catalogue != m_state.catalogue || m_orders != orders;
    if (due)
        m_lookAt = now + CheckInterval;
    m_serverAddedAt = m_state.serverAddedAt;
    m_catalogue = m_state.catalogue;
    m_orders = orders;
    return due;
}

Task<void> VersionRegistrar::tick()
{
    if (!m_state.streamVersions.known()) {
        if (!co_await read(StoreTimeout))
            co_await wire::sleepFor(RetryPause);
        co_return;
    }
    if (!m_state.catalogue || !m_state.serverListKnown)
        co_return;
    const SteadyTime now = m_state.clock.steadyNow();
    if (!m_updateAt && mustLook(now)
        && m_state.streamVersions.mustRegister(m_state.listedStreamVersions())) {
        const milliseconds longest =
            m_state.streamVersions.row().empty() ? FirstSpread : RegisterSpread;
        const auto spread = static_cast<std::int64_t>(
            m_state.random.below(static_cast<std::uint64_t>(longest.count())));
        m_updateAt = m_hooks.readsList() ? now : now + milliseconds(spread);
    }
    const bool maintains = m_hooks.holdsLease() && now >= m_maintainAt;
    if (maintains || (m_updateAt && now >= *m_updateAt)) {
        co_await update(maintains);
    } else if (now >= m_refreshAt) {
        m_refreshAt = now + RetryPause;
        co_await read(StoreTimeout);
    }
}

Task<void> VersionRegistrar::update(bool maintains)
{
    // Tried again then, unless the row is found or written as it should be.
    m_updateAt = m_state.clock.steadyNow() + RetryPause;
    if (!co_await read(StoreTimeout))
        co_return;
    const SteadyTime now = m_state.clock.steadyNow();
    const std::set<serving::StreamOrigin> versions = m_state.listedStreamVersions();
    std::vector<serving::RegisteredVersion> row = m_state.streamVersions.updated(versions, now);
    if (maintains) {
        m_maintainAt = now + MaintainInterval;
        if (m_state.commonTime.storeClockKnown())
            row = serving::StreamVersions::maintained(std::move(row), versions,
                                                      m_state.commonTime.storeTimeAt(now));
    }
    if (row == m_state.streamVersions.row())
        m_updateAt.reset();
    else
        co_await write(std::move(row));
}

Task<bool> VersionRegistrar::readSince(SteadyTime since, milliseconds timeout)
{
    const SteadyTime until = m_state.clock.steadyNow() + timeout;
    while (m_state.streamVersions.readBegunAt().value_or(SteadyTime::min()) < since) {
        const SteadyTime now = m_state.clock.steadyNow();
        if (now >= until)
            co_return false;
        if (m_reading)
            co_await wire::sleepFor(ReadTick);
        else
            co_await read(std::chrono::ceil<milliseconds>(until - now));
    }
    co_return true;
}

Task<bool> VersionRegistrar::read(milliseconds timeout)
{
    const SteadyTime begunAt = m_state.clock.steadyNow();
    m_reading = true;
    const auto rows = co_await m_store.read(VersionsTable, std::string(), timeout);
    m_reading = false;
    if (!rows)
        co_return false; // StoreFollower, which calls the same store constantly, logs the error.
    const platform::StoredRow *row = findRow(*rows, VersionsKey);
    m_rowVersion = row == nullptr ? 0 : row->version;
    const auto versions =
        row == nullptr ? std::vector<serving::RegisteredVersion>() : decodeVersions(row->value);
    m_state.streamVersions.read(versions, begunAt, m_state.clock.steadyNow());
    m_refreshAt = m_state.clock.steadyNow() + RefreshInterval;
    co_return true;
}

Task<void> VersionRegistrar::write(std::vector<serving::RegisteredVersion> versions)
{
    const SteadyTime begunAt = m_state.clock.steadyNow();
    const std::string value = encodeVersions(versions);
    std::vector<platform::RowCondition> conditions { { versionsRow(), m_rowVersion } };
    std::vector<platform::RowWrite> writes { { versionsRow(), value } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    // Another instance may have been faster, or the answer may be lost: the row is read again.
    if (!done)
        co_return;
    const SteadyTime now = m_state.clock.steadyNow();
    m_rowVersion = done->storeVersion;
    m_state.streamVersions.read(versions, begunAt, now);
    m_updateAt.reset();
    const bool allSettled = std::ranges::all_of(versions, &serving::RegisteredVersion::settled);
    // The instance that has registered a version settles it, too.
    if (!allSettled)
        m_updateAt = now + serving::StreamVersions::SettleTime;
    logEvent(events::StreamVersionsStored,
             { { "versions", value }, { "row", std::to_string(m_rowVersion) } });
}

} // namespace snipestall::gateway
