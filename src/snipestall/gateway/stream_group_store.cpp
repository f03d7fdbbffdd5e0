#include "snipestall/gateway/stream_group_store.hpp"

#include "duty_rows.hpp"
#include "platform/store_client.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"
#include "stream_group_row.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace snipestall::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto GroupsTable = "stream-groups";
/// A part of its own, so that these writes do not delay others.
constexpr auto GroupsPart = "streams";
/// Streams that began within such a time before a kill of all instances are lost.
constexpr milliseconds WriteInterval { 100 };
/// The same at an instance that writes for many. Their records take about as long to reach it.
constexpr milliseconds MemberWriteInterval { 150 };
constexpr milliseconds WriteTimeout { 300 };
/// Reads become rarer until none was wanted for a while, so that callers who name attempts that
/// nobody knows cause few.
constexpr milliseconds MinReadInterval { 300 };
constexpr milliseconds MaxReadInterval { 4000 };
constexpr milliseconds CalmAfter { 10000 };
constexpr milliseconds ReadTick { 2 };
/// Bounds the time for which the loop is held.
constexpr std::size_t RowsAtOnce = 16;
constexpr std::chrono::minutes RemoveInterval { 1 };
/// A call holds 100 entries, and a removal takes two.
constexpr std::size_t MaxRemovals = 50;

} // namespace

StreamGroupStore::StreamGroupStore(GatewayState &state, platform::StoreClient &store, Hooks hooks)
    : m_state(state)
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_readInterval(MinReadInterval)
    , m_removeAt(state.clock.steadyNow() + RemoveInterval)
{ }

platform::RowName StreamGroupStore::rowName(std::uint32_t slot) const
{
    return { GroupsTable, GroupsPart, m_state.settings.instance + "/" + std::to_string(slot) };
}

Task<void> StreamGroupStore::tick()
{
    const SteadyTime now = m_state.clock.steadyNow();
    m_mayHaveRows |= m_state.streamVersions.several();
    if (m_mayHaveRows && m_hooks.holdsLease() && now >= m_removeAt) {
        co_await removeOld();
        co_return;
    }
    if (!m_state.streamVersions.several() || !m_hooks.holdsRecords())
        co_return;
    const bool mustRead = m_readWanted || !m_storeClock.storeClockKnown();
    if (mustRead && !m_reading && mayRead(now))
        co_await read(StoreTimeout);
    if (!m_storeClock.storeClockKnown())
        co_return;
    const SteadyTime after = m_state.clock.steadyNow();
    auto group = m_groups.next(m_state.streamRecords,
                               m_hooks.hasMembers() ? MemberWriteInterval : WriteInterval,
                               m_storeClock.storeTimeAt(after), after);
    if (group)
        co_await write(std::move(*group));
}

bool StreamGroupStore::mayRead(SteadyTime now) const
{
    return now - m_readBegunAt >= m_readInterval;
}

Task<bool> StreamGroupStore::readRecently(milliseconds timeout)
{
    const SteadyTime begun = m_state.clock.steadyNow();
    const SteadyTime since = begun - m_readInterval;
    const SteadyTime until = begun + timeout;
    while (m_readDoneSince.value_or(SteadyTime::min()) < since) {
        const SteadyTime now = m_state.clock.steadyNow();
        if (now >= until)
            co_return false;
        if (m_reading || !mayRead(now))
            co_await wire::sleepFor(ReadTick);
        else
            co_await read(std::chrono::ceil<milliseconds>(until - now));
    }
    co_return true;
}

Task<bool> StreamGroupStore::read(milliseconds timeout)
{
    const SteadyTime begunAt = m_state.clock.steadyNow();
    m_readInterval = begunAt - m_readBegunAt > CalmAfter
        ? MinReadInterval
        : std::min(2 * m_readInterval, MaxReadInterval);
    m_readBegunAt = begunAt;
    m_readWanted = false;
    m_reading = true;
    auto rows = co_await m_store.read(GroupsTable, GroupsPart, timeout);
    if (!rows) {
        // Tried again by the next tick that may read.
        m_readWanted = true;
        m_reading = false;
        co_return false; // StoreFollower, which calls the same store constantly, logs the error.
    }
    m_storeClock.observeStoreClock(rows->storeTime, m_state.clock.steadyNow());
    const std::size_t count = rows->rows.size();
    const std::size_t streams = co_await takeOver(std::move(rows->rows));
    m_reading = false;
    m_readDoneSince = begunAt;
    const auto passed = duration_cast<milliseconds>(m_state.clock.steadyNow() - begunAt);
    logEvent(events::StreamGroupsRead,
             { { "rows", std::to_string(count) },
               { "streams", std::to_string(streams) },
               { "ms", std::to_string(passed.count()) } });
    co_return true;
}

Task<std::size_t> StreamGroupStore::takeOver(std::vector<platform::StoredRow> rows)
{
    std::size_t streams = 0;
    std::size_t taken = 0;
    for (const platform::StoredRow &row : rows) {
        const auto group = decodeStreamGroup(row.value);
        if (!group)
            continue;
        const SteadyTime now = m_state.clock.steadyNow();
        const milliseconds storeTime = m_storeClock.storeTimeAt(now);
        for (const serving::StoredStream &each : group->streams) {
            if (each.expiresAt <= storeTime)
                continue;
            ++streams;
            m_state.streamRecords.addStored({ each.key, each.origin, each.expiresAt - storeTime },
                                            now);
        }
        if (++taken % RowsAtOnce == 0)
            co_await wire::sleepFor(milliseconds(1));
    }
    co_return streams;
}

Task<void> StreamGroupStore::write(serving::StreamGroup group)
{
    std::vector<platform::RowWrite> writes;
    writes.push_back({ rowName(group.slot), encodeStreamGroup(group) });
    const auto done = co_await m_store.write({}, std::move(writes), WriteTimeout);
    const SteadyTime now = m_state.clock.steadyNow();
    if (done) {
        m_groups.written();
        ++m_state.counters.streamGroupsWritten;
        if (std::exchange(m_writesFail, false))
            logEvent(events::StreamGroupsStoredAgain, {});
        co_return;
    }
    m_groups.writeFailed(now);
    ++m_state.counters.streamGroupsFailed;
    if (!std::exchange(m_writesFail, true))
        logEvent(events::StreamGroupsNotStored, { { "error", done.error().message } });
}

Task<void> StreamGroupStore::removeOld()
{
    m_removeAt = m_state.clock.steadyNow() + RemoveInterval;
    const auto rows = co_await m_store.read(GroupsTable, GroupsPart, StoreTimeout);
    if (!rows)
        co_return;
    m_mayHaveRows = !rows->rows.empty();
    std::vector<platform::RowCondition> conditions;
    std::vector<platform::RowWrite> removals;
    for (const platform::StoredRow &row : rows->rows) {
        const auto group = decodeStreamGroup(row.value);
        const bool isOld =
            !group || group->writtenAt + serving::StreamGroups::RemovedAfter < rows->storeTime;
        if (!isOld || removals.size() >= MaxRemovals)
            continue;
        conditions.push_back({ row.name, row.version });
        removals.push_back({ row.name, std::nullopt });
    }
    // A row that is written meanwhile stays, and the others are tried again a minute later.
    if (!removals.empty())
        co_await m_store.write(std::move(conditions), std::move(removals), StoreTimeout);
}

} // namespace snipestall::gateway
