#include "snipestall/gateway/blocked_part_registrar.hpp"

#include "blocked_parts_row.hpp"
#include "duty_rows.hpp"
#include "platform/store_client.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"

#include <sstream>
#include <utility>
#include <vector>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto PartsTable = "blocked-parts";
constexpr auto PartsKey = "parts";
/// Other instances wait this long, and a random part of it more, before they look whether an
/// instance that reads the store has written the row.
constexpr milliseconds WriteSpread { 1000 };
constexpr milliseconds RetryPause { 150 };
/// Interval at which the row is read again while something is blocked, so that an operator can
/// remove an entry.
constexpr std::chrono::seconds ReadAgainInterval { 30 };

platform::RowName partsRow()
{
    return { PartsTable, std::string(), PartsKey };
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string all;
    for (const std::string &each : texts)
        all += (all.empty() ? "" : ",") + each;
    return all;
}

const EventInfo &eventOf(serving::PartCrashWatch::ChangeKind kind)
{
    using Kind = serving::PartCrashWatch::ChangeKind;
    if (kind == Kind::Grouped)
        return events::PartsAlike;
    return kind == Kind::Blocked ? events::PartBlocked : events::PartAllowed;
}

} // namespace

BlockedPartRegistrar::BlockedPartRegistrar(GatewayState &state, platform::StoreClient &store,
                                           std::function<bool()> readsList)
    : m_state(state)
    , m_store(store)
    , m_readsList(std::move(readsList))
{ }

Task<void> BlockedPartRegistrar::tick()
{
    serving::PartCrashWatch &parts = m_state.crashes.parts();
    const SteadyTime now = m_state.clock.steadyNow();
    parts.update(now);
    logChanges();
    if (!m_read) {
        if (!co_await read())
            co_await wire::sleepFor(RetryPause);
        co_return;
    }
    const bool mustWrite = parts.mustStore() || parts.trialDue(now);
    if (!mustWrite)
        m_updateAt.reset();
    else if (!m_updateAt)
        m_updateAt = m_readsList() ? now
                                   : now + WriteSpread
                + milliseconds(static_cast<std::int64_t>(
                    m_state.random.below(static_cast<std::uint64_t>(WriteSpread.count()))));
    if (m_updateAt && now >= *m_updateAt)
        co_await update();
    else if (parts.anyBlocked() && now >= m_readAgainAt)
        co_await read();
}

Task<bool> BlockedPartRegistrar::read()
{
    m_readAgainAt = m_state.clock.steadyNow() + ReadAgainInterval;
    const auto rows = co_await m_store.read(PartsTable, std::string(), StoreTimeout);
    if (!rows)
        co_return false; // StoreFollower, which calls the same store constantly, logs the error.
    const platform::StoredRow *row = findRow(*rows, PartsKey);
    m_rowVersion = row == nullptr ? 0 : row->version;
    const auto stored =
        row == nullptr ? std::vector<serving::StoredPart>() : decodeBlockedParts(row->value);
    const SteadyTime now = m_state.clock.steadyNow();
    m_state.crashes.parts().rowRead(stored, now);
    m_state.crashes.parts().trialsGranted(stored, m_state.processName(), now);
    m_read = true;
    logChanges();
    co_return true;
}

Task<void> BlockedPartRegistrar::update()
{
    serving::PartCrashWatch &parts = m_state.crashes.parts();
    m_updateAt = m_state.clock.steadyNow() + RetryPause;
    const auto rows = co_await m_store.read(PartsTable, std::string(), StoreTimeout);
    if (!rows)
        co_return;
    const platform::StoredRow *row = findRow(*rows, PartsKey);
    m_rowVersion = row == nullptr ? 0 : row->version;
    const auto before =
        row == nullptr ? std::vector<serving::StoredPart>() : decodeBlockedParts(row->value);
    parts.rowRead(before, m_state.clock.steadyNow());
    const auto after = parts.updated(before, m_state.processName(), m_state.clock.steadyNow());
    if (after == before)
        co_return;
    const std::string value = encodeBlockedParts(after);
    std::vector<platform::RowCondition> conditions { { partsRow(), m_rowVersion } };
    std::vector<platform::RowWrite> writes { { partsRow(), value } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    // Another instance may have been faster, or the answer may be lost: the row is read again.
    if (!done)
        co_return;
    const SteadyTime now = m_state.clock.steadyNow();
    parts.rowRead(after, now);
    parts.trialsGranted(after, m_state.processName(), now);
    logEvent(events::BlockedPartsStored,
             { { "parts", value }, { "row", std::to_string(done->storeVersion) } });
}

void BlockedPartRegistrar::logChanges()
{
    for (const auto &change : m_state.crashes.parts().takeChanges()) {
        std::ostringstream id;
        id << std::hex << change.name.id;
        logEvent(eventOf(change.kind),
                 { { "part", id.str() },
                   { "service", change.name.service },
                   { "model", change.name.model },
                   { "servers", joined(change.servers) } });
    }
}

} // namespace snipestall::gateway
