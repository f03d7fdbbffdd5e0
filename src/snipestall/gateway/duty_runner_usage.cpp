// The part of DutyRunner that stores the usage that this instance counted and reports the total.

#include "snipestall/gateway/duty_runner.hpp"

#include "duty_rows.hpp"
#include "platform/store_client.hpp"
#include "platform/write_batches.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/json/object.hpp>
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

constexpr auto CountsTable = "usage-counts";
constexpr auto ReportsTable = "usage-reports";

constexpr milliseconds UsageTick { 200 };
/// Time after the end of a window by which every instance has stored its counts; a fifth of the
/// default window.
constexpr milliseconds CountsDelay { 1000 };
/// Time by which counts are stored if hubs store them for their members. A member that gets no
/// confirmation from its hub stores its counts itself.
constexpr milliseconds MembersCountsDelay { 2500 };
/// Number of processes whose counts share a row: about 17 KB with forty customers, which is within
/// the size limit of the store.
constexpr std::size_t ProcessesPerRow = 30;
/// Number of windows whose counts are kept in memory and reported to peers. A report is due two
/// windows after its window.
constexpr std::int64_t WindowsKept = 3;
/// Number of windows that a new holder reports again, because its predecessor may not have sent
/// them.
constexpr std::int64_t WindowsRepeated = 3;

std::string encodeCounts(const UsageCounts &counts)
{
    json::object object;
    for (const auto &[customer, count] : counts)
        object[customer] = count;
    return json::serialize(object);
}

/// Encodes the counts of several processes. A row of a single process contains numbers where this
/// one contains objects.
std::string encodeMembers(const std::map<std::string, UsageCounts> &members)
{
    json::object object;
    for (const auto &[process, counts] : members) {
        json::object each;
        for (const auto &[customer, count] : counts)
            each[customer] = count;
        object[process] = std::move(each);
    }
    return json::serialize(object);
}

std::map<std::string, UsageCounts> decodeMembers(const std::string &text)
{
    std::map<std::string, UsageCounts> members;
    const auto object = parseObject(text);
    if (!object)
        return members;
    for (const auto &[process, value] : *object) {
        if (value.is_object())
            members[std::string(process)] =
                decodeNumbers<std::uint64_t>(json::serialize(value.get_object()));
    }
    return members;
}

} // namespace

Task<void> DutyRunner::usageLoop()
{
    while (true) {
        co_await agreeOnTimeOffset();
        if (m_state.commonTime.known()) {
            co_await storeCounts();
            co_await storeMembersCounts();
            if (holdsLease())
                co_await reportDue();
        }
        co_await wire::sleepFor(UsageTick);
    }
}

Task<void> DutyRunner::storeCounts()
{
    if (!m_state.commonTime.known())
        co_return;
    const std::int64_t current =
        m_state.usage.windowOf(m_state.commonTime.at(m_state.clock.steadyNow()));
    // A process that shuts down also stores the window that is still open.
    const std::int64_t last = m_state.draining() ? current : current - 1;
    // The open window is stored each time, because requests still begin in it.
    if (m_storedUpTo == 0 || m_storedUpTo >= current)
        m_storedUpTo = current - 1;
    while (m_storedUpTo < last) {
        const std::int64_t window = m_storedUpTo + 1;
        const bool byHub = !m_state.draining() && m_state.memberUsage.storedByHub(window);
        if (!byHub && !m_state.draining()
            && m_state.memberUsage.isLeftToHub(sinceEndOf(window), m_state.clock.steadyNow()))
            co_return;
        if (!byHub && !co_await storeCountsOf(window))
            co_return;
        ++m_storedUpTo;
    }
    m_state.usage.dropBefore(current - WindowsKept);
    m_state.usageLedger.dropBefore(current - WindowsKept);
}

milliseconds DutyRunner::sinceEndOf(std::int64_t window) const
{
    const WallTime now = m_state.commonTime.at(m_state.clock.steadyNow());
    return std::chrono::duration_cast<milliseconds>(now - m_state.usage.endOf(window));
}

Task<void> DutyRunner::storeMembersCounts()
{
    const std::int64_t last =
        m_state.usage.windowOf(m_state.commonTime.at(m_state.clock.steadyNow())) - 1;
    m_state.memberUsage.dropBefore(last - WindowsKept);
    if (!m_state.memberUsage.hasMembers())
        co_return;
    m_membersStoredUpTo = std::max(m_membersStoredUpTo, last - 1);
    while (m_membersStoredUpTo < last) {
        const std::int64_t window = m_membersStoredUpTo + 1;
        if (sinceEndOf(window) < serving::MemberUsage::HubStoresAfter
            || !co_await storeMembersCountsOf(window))
            co_return;
        m_membersStoredUpTo = window;
    }
}

Task<bool> DutyRunner::storeMembersCountsOf(std::int64_t window)
{
    const std::vector<std::string> members = m_state.memberUsage.membersFinalFor(window);
    std::map<std::string, UsageCounts> row;
    const std::map<std::string, UsageCounts> known = m_state.usageLedger.countsByProcess(window);
    std::size_t left = known.size();
    int number = 0;
    for (const auto &[process, counts] : known) {
        row.emplace(process, counts);
        --left;
        if (row.size() < ProcessesPerRow && left > 0)
            continue;
        const platform::RowName name { CountsTable, std::to_string(window),
                                       m_state.processName() + "+" + std::to_string(number++) };
        std::vector<platform::RowWrite> writes { { name, encodeMembers(row) } };
        const auto done = co_await m_store.write({}, std::move(writes), StoreTimeout);
        if (!done)
            co_return false;
        row.clear();
    }
    m_state.memberUsage.markStored(members, window);
    co_return true;
}

Task<bool> DutyRunner::storeCountsOf(std::int64_t window)
{
    const UsageCounts counts = m_state.usage.counts(window);
    if (counts.empty())
        co_return true;
    // Each process has its own key, so the counts of an earlier process of this instance are kept.
    const platform::RowName name { CountsTable, std::to_string(window), m_state.processName() };
    std::vector<platform::RowWrite> writes { { name, encodeCounts(counts) } };
    const auto done = co_await m_store.write({}, std::move(writes), StoreTimeout);
    co_return done.has_value();
}

Task<void> DutyRunner::reportDue()
{
    const WallTime now = m_state.commonTime.at(m_state.clock.steadyNow());
    const std::int64_t current = m_state.usage.windowOf(now);
    m_reportedUpTo = std::max(m_reportedUpTo, current - 1 - WindowsRepeated);
    while (m_reportedUpTo + 1 < current) {
        const std::int64_t window = m_reportedUpTo + 1;
        const milliseconds delay =
            m_state.memberUsage.hasMembers() ? MembersCountsDelay : CountsDelay;
        if (now < m_state.usage.endOf(window) + delay || !co_await report(window))
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
                   { "fence", std::to_string(m_lease.fencingToken()) },
                   { "error", done.error().message } });
        co_return false;
    }
    logEvent(events::UsageReported,
             { { "window", std::to_string(window) },
               { "fence", std::to_string(m_lease.fencingToken()) },
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
    // The counts are already stored, perhaps by a write of this instance whose answer was lost.
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
    for (const platform::StoredRow &row : rows->rows) {
        const auto members = decodeMembers(row.value);
        for (const auto &[process, counts] : members)
            m_state.usageLedger.addCounts(window, process, counts);
        if (members.empty())
            m_state.usageLedger.addCounts(window, row.name.key,
                                          decodeNumbers<std::uint64_t>(row.value));
    }
    m_state.usageLedger.addCounts(window, m_state.processName(), m_state.usage.counts(window));
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
