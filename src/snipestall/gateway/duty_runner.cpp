#include "snipestall/gateway/duty_runner.hpp"

#include "duty_rows.hpp"
#include "platform/store_client.hpp"
#include "platform/write_batches.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace snipestall::gateway {

namespace json = boost::json;
using serving::UsageCounts;
using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto DutyTable = "duty";
constexpr auto LeaseKey = "lease";
/// Time of day at the store's zero, in milliseconds.
constexpr auto TimeOffsetKey = "time-offset";
constexpr auto CountsTable = "usage-counts";
constexpr auto ReportsTable = "usage-reports";

constexpr milliseconds LeaseTick { 100 };
constexpr milliseconds UsageTick { 200 };
/// When all instances start for the first time, one of few writes the time and the others hear of
/// it within some intervals.
constexpr milliseconds TimeFromPeersWithin { 2000 };
/// After the end of a window every instance has stored its counts; a fifth of the default window.
constexpr milliseconds CountsDelay { 1000 };
/// Windows whose counts are kept in memory and told to peers; a report is due two windows late.
constexpr std::int64_t WindowsKept = 3;
/// A new holder repeats what its predecessor may have left unsent.
constexpr std::int64_t WindowsRepeated = 3;

platform::RowName dutyRow(const char *key)
{
    return { DutyTable, std::string(), key };
}

std::string encodeLease(const serving::LeaseRow &row)
{
    return json::serialize(json::object { { "holder", row.holder }, { "fence", row.fence } });
}

serving::LeaseRow decodeLease(const std::string &text)
{
    serving::LeaseRow row;
    const auto object = parseObject(text);
    if (!object)
        return row;
    if (const json::value *holder = object->if_contains("holder"); holder && holder->is_string())
        row.holder = std::string(holder->get_string());
    if (const json::value *fence = object->if_contains("fence"); fence && fence->is_int64())
        row.fence = fence->get_int64();
    return row;
}

std::string encodeCounts(const UsageCounts &counts)
{
    json::object object;
    for (const auto &[customer, count] : counts)
        object[customer] = count;
    return json::serialize(object);
}

} // namespace

DutyRunner::DutyRunner(GatewayState &state, platform::StoreClient &store)
    : m_state(state)
    , m_store(store)
    , m_duties(state.io, state.settings.duties)
    , m_lease(state.processName(), state.settings.bounds.lease)
{ }

void DutyRunner::start()
{
    m_startedAt = m_state.clock.steadyNow();
    boost::asio::co_spawn(m_state.io, leaseLoop(), boost::asio::detached);
    boost::asio::co_spawn(m_state.io, usageLoop(), boost::asio::detached);
    boost::asio::co_spawn(m_state.io, fleetLoop(), boost::asio::detached);
}

bool DutyRunner::holdsLease() const
{
    return !m_state.draining && m_lease.holds(m_state.clock.steadyNow());
}

void DutyRunner::setCandidate(bool candidate)
{
    m_candidate = candidate;
    m_lease.setCandidate(candidate, m_state.clock.steadyNow());
}

void DutyRunner::holderHeard()
{
    m_lease.holderHeard(m_state.clock.steadyNow());
}

platform::DutyHolder DutyRunner::holder() const
{
    const std::int64_t fence = m_lease.fence();
    return { m_state.settings.instance, fence,
             [this, fence] { return holdsLease() && m_lease.fence() == fence; } };
}

// --- Lease -----------------------------------------------------------------------------------

Task<void> DutyRunner::leaseLoop()
{
    // Instances that start together would otherwise all write at the same moment.
    co_await wire::sleepFor(milliseconds(static_cast<std::int64_t>(m_state.random.below(500))));
    while (!m_state.draining) {
        const SteadyTime now = m_state.clock.steadyNow();
        if (m_lease.wantsRead(now))
            co_await readLease();
        else if (const auto write = m_lease.wantsWrite(now))
            co_await writeLease(*write);
        const bool held = holdsLease();
        if (held != m_held)
            logEvent(held ? events::DutyLeaseTaken : events::DutyLeaseLost,
                     { { "fence", std::to_string(m_lease.fence()) } });
        m_held = held;
        co_await wire::sleepFor(LeaseTick);
    }
}

Task<void> DutyRunner::readLease()
{
    const auto rows = co_await m_store.read(DutyTable, std::string(), StoreTimeout);
    if (!rows)
        co_return; // Logged by the follower, which calls the same store all the time.
    const SteadyTime now = m_state.clock.steadyNow();
    const platform::StoredRow *lease = findRow(*rows, LeaseKey);
    if (lease == nullptr)
        m_lease.sawRow({}, 0, now);
    else
        m_lease.sawRow(decodeLease(lease->value), lease->version, now);
    if (const platform::StoredRow *offset = findRow(*rows, TimeOffsetKey))
        m_state.trueTime.setOffset(milliseconds(std::atoll(offset->value.c_str())));
}

Task<void> DutyRunner::writeLease(serving::LeaseWrite write)
{
    const SteadyTime sentAt = m_state.clock.steadyNow();
    std::vector<platform::RowCondition> conditions { { dutyRow(LeaseKey), write.expectedVersion } };
    std::vector<platform::RowWrite> writes { { dutyRow(LeaseKey), encodeLease(write.row) } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    if (done)
        m_lease.wrote(write, done->storeVersion, sentAt);
    else if (done.error().kind != ErrorKind::Unavailable
             && done.error().kind != ErrorKind::Exhausted)
        m_lease.writeUnknown();
}

Task<void> DutyRunner::agreeOnTime()
{
    if (m_state.trueTime.known() || !m_state.trueTime.storeClockKnown())
        co_return;
    const SteadyTime now = m_state.clock.steadyNow();
    if (m_state.settings.firstStart) {
        if (!m_candidate && now - m_startedAt < TimeFromPeersWithin)
            co_return;
    } else {
        // Others agreed on it long ago. Requests that begin before it is known here go uncounted.
        co_await readLease();
        if (m_state.trueTime.known())
            co_return;
    }
    const auto offset = m_state.trueTime.localOffset(m_state.clock.wallNow(), now);
    // The first instance to write decides for all; the others read its row.
    std::vector<platform::RowCondition> conditions { { dutyRow(TimeOffsetKey), 0 } };
    std::vector<platform::RowWrite> writes { { dutyRow(TimeOffsetKey),
                                               std::to_string(offset.count()) } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    if (done)
        m_state.trueTime.setOffset(offset);
    else
        co_await readLease();
}

Task<void> DutyRunner::leave()
{
    co_await storeCounts();
    if (const auto write = m_lease.release())
        co_await writeLease(*write);
}

// --- Usage -----------------------------------------------------------------------------------

Task<void> DutyRunner::usageLoop()
{
    while (true) {
        co_await agreeOnTime();
        if (m_state.trueTime.known()) {
            co_await storeCounts();
            if (holdsLease())
                co_await reportDue();
        }
        co_await wire::sleepFor(UsageTick);
    }
}

Task<void> DutyRunner::storeCounts()
{
    if (!m_state.trueTime.known())
        co_return;
    const std::int64_t current =
        m_state.usage.windowOf(m_state.trueTime.at(m_state.clock.steadyNow()));
    // A process that shuts down stores the window that still runs, too.
    const std::int64_t last = m_state.draining ? current : current - 1;
    if (m_storedUpTo == 0)
        m_storedUpTo = current - 1;
    while (m_storedUpTo < last) {
        if (!co_await storeCountsOf(m_storedUpTo + 1))
            co_return;
        ++m_storedUpTo;
    }
    m_state.usage.dropBefore(current - WindowsKept);
    m_state.usageLedger.dropBefore(current - WindowsKept);
}

Task<bool> DutyRunner::storeCountsOf(std::int64_t window)
{
    const UsageCounts counts = m_state.usage.counts(window);
    if (counts.empty())
        co_return true;
    // A key for each process: what an earlier one of this instance counted stays.
    const platform::RowName name { CountsTable, std::to_string(window), m_state.processName() };
    std::vector<platform::RowWrite> writes { { name, encodeCounts(counts) } };
    const auto done = co_await m_store.write({}, std::move(writes), StoreTimeout);
    co_return done.has_value();
}

Task<void> DutyRunner::reportDue()
{
    const WallTime now = m_state.trueTime.at(m_state.clock.steadyNow());
    const std::int64_t current = m_state.usage.windowOf(now);
    m_reportedUpTo = std::max(m_reportedUpTo, current - 1 - WindowsRepeated);
    while (m_reportedUpTo + 1 < current) {
        const std::int64_t window = m_reportedUpTo + 1;
        if (now < m_state.usage.endOf(window) + CountsDelay || !co_await report(window))
            co_return;
        m_reportedUpTo = window;
        co_await removeCounts(window - 1 - WindowsRepeated);
    }
}

Task<bool> DutyRunner::report(std::int64_t window)
{
    const auto counts = co_await fixedCounts(window);
    if (!counts)
        co_return false;
    if (counts->empty())
        co_return true;
    if (!holdsLease())
        co_return false;
    const auto done = co_await m_duties.reportUsage(holder(), window, *counts, DutyTimeout);
    if (!done) {
        logEvent(events::UsageReportFailed,
                 { { "window", std::to_string(window) },
                   { "fence", std::to_string(m_lease.fence()) },
                   { "error", done.error().message } });
        co_return false;
    }
    logEvent(events::UsageReported,
             { { "window", std::to_string(window) },
               { "fence", std::to_string(m_lease.fence()) },
               { "counts", encodeCounts(*counts) } });
    co_return true;
}

Task<std::optional<UsageCounts>> DutyRunner::fixedCounts(std::int64_t window)
{
    const auto sum = co_await sumOfCounts(window);
    if (!sum)
        co_return std::nullopt;
    const platform::RowName name { ReportsTable, std::string(), std::to_string(window) };
    std::vector<platform::RowCondition> conditions { { name, 0 } };
    std::vector<platform::RowWrite> writes { { name, encodeCounts(*sum) } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    if (done)
        co_return sum;
    // Somebody fixed them before, perhaps this instance by a write whose answer was lost.
    const auto rows = co_await m_store.read(ReportsTable, std::string(), StoreTimeout);
    if (!rows)
        co_return std::nullopt;
    const platform::StoredRow *fixed = findRow(*rows, name.key);
    if (fixed == nullptr)
        co_return std::nullopt;
    co_return decodeNumbers<std::uint64_t>(fixed->value);
}

Task<std::optional<UsageCounts>> DutyRunner::sumOfCounts(std::int64_t window)
{
    const auto rows = co_await m_store.read(CountsTable, std::to_string(window), StoreTimeout);
    if (!rows)
        co_return std::nullopt;
    for (const platform::StoredRow &row : rows->rows)
        m_state.usageLedger.said(window, row.name.key, decodeNumbers<std::uint64_t>(row.value));
    m_state.usageLedger.said(window, m_state.processName(), m_state.usage.counts(window));
    co_return m_state.usageLedger.total(window);
}

Task<void> DutyRunner::removeCounts(std::int64_t window)
{
    const auto rows = co_await m_store.read(CountsTable, std::to_string(window), StoreTimeout);
    if (!rows || rows->rows.empty())
        co_return;
    std::vector<platform::RowWrite> removals;
    for (const platform::StoredRow &row : rows->rows)
        removals.push_back({ row.name, std::nullopt });
    for (std::vector<platform::RowWrite> &batch : platform::splitIntoBatches(std::move(removals))) {
        const auto done = co_await m_store.write({}, std::move(batch), StoreTimeout);
        if (!done)
            logEvent(events::StoreLost,
                     { { "table", CountsTable }, { "error", done.error().message } });
    }
}

} // namespace snipestall::gateway
