#include "snipestall/gateway/duty_runner.hpp"

#include "duty_rows.hpp"
#include "platform/store_client.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>
#include <vector>

namespace snipestall::gateway {

namespace json = boost::json;
using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto DutyTable = "duty";
constexpr auto LeaseKey = "lease";
/// Time of day at which the clock of the store was zero, in milliseconds.
constexpr auto TimeOffsetKey = "time-offset";

constexpr milliseconds LeaseTick { 100 };
/// Wait when all instances start for the first time: one of the few candidates writes the time
/// offset, and the others receive it within some intervals.
constexpr milliseconds PeerTimeWait { 2000 };

platform::RowName dutyRow(const char *key)
{
    return { DutyTable, std::string(), key };
}

std::string encodeLease(const serving::LeaseRow &row)
{
    return json::serialize(
        json::object { { "holder", row.holder }, { "fence", row.fencingToken } });
}

serving::LeaseRow decodeLease(const std::string &text)
{
    serving::LeaseRow row;
    const auto object = parseObject(text);
    if (!object)
        return row;
    if (const json::value *holder = object->if_contains("holder"); holder && holder->is_string())
        row.holder = std::string(holder->get_string());
    if (const json::value *fencingToken = object->if_contains("fence");
        fencingToken && fencingToken->is_int64())
        row.fencingToken = fencingToken->get_int64();
    return row;
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
    wire::spawnLoop(
        m_state.io, [this] { return leaseLoop(); }, "lease");
    wire::spawnLoop(
        m_state.io, [this] { return usageLoop(); }, "usage");
    wire::spawnLoop(
        m_state.io, [this] { return fleetLoop(); }, "fleet");
}

bool DutyRunner::holdsLease() const
{
    return !m_state.draining() && m_lease.holds(m_state.clock.steadyNow());
}

void DutyRunner::setCandidate(bool candidate)
{
    m_candidate = candidate;
    m_lease.setCandidate(candidate, m_state.clock.steadyNow());
}

void DutyRunner::holderReported()
{
    m_lease.holderReported(m_state.clock.steadyNow());
}

platform::DutyHolder DutyRunner::holder() const
{
    const std::int64_t fencingToken = m_lease.fencingToken();
    return { m_state.settings.instance, fencingToken, [this, fencingToken] {
                return holdsLease() && m_lease.fencingToken() == fencingToken;
            } };
}

// --- Lease -----------------------------------------------------------------------------------

Task<void> DutyRunner::leaseLoop()
{
    // Random pause, because instances that start together would otherwise all write at the same
    // moment.
    co_await wire::sleepFor(milliseconds(static_cast<std::int64_t>(m_state.random.below(500))));
    while (!m_state.draining()) {
        const SteadyTime now = m_state.clock.steadyNow();
        if (m_lease.isReadDue(now))
            co_await readLease();
        else if (const auto write = m_lease.dueWrite(now))
            co_await writeLease(*write);
        const bool held = holdsLease();
        if (held != m_wasHolder)
            logEvent(held ? events::DutyLeaseTaken : events::DutyLeaseLost,
                     { { "fence", std::to_string(m_lease.fencingToken()) } });
        m_wasHolder = held;
        co_await wire::sleepFor(LeaseTick);
    }
}

Task<void> DutyRunner::readLease()
{
    const auto rows = co_await m_store.read(DutyTable, std::string(), StoreTimeout);
    if (!rows)
        co_return; // StoreFollower, which calls the same store constantly, logs the error.
    const SteadyTime now = m_state.clock.steadyNow();
    const platform::StoredRow *lease = findRow(*rows, LeaseKey);
    if (lease == nullptr)
        m_lease.rowRead({}, 0, now);
    else
        m_lease.rowRead(decodeLease(lease->value), lease->version, now);
    if (const platform::StoredRow *offset = findRow(*rows, TimeOffsetKey))
        m_state.commonTime.setOffset(milliseconds(std::atoll(offset->value.c_str())));
}

Task<void> DutyRunner::writeLease(serving::LeaseWrite write)
{
    const SteadyTime sentAt = m_state.clock.steadyNow();
    std::vector<platform::RowCondition> conditions { { dutyRow(LeaseKey), write.expectedVersion } };
    std::vector<platform::RowWrite> writes { { dutyRow(LeaseKey), encodeLease(write.row) } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    if (done)
        m_lease.rowWritten(write, done->storeVersion, sentAt);
    else if (done.error().kind != ErrorKind::Unavailable
             && done.error().kind != ErrorKind::Exhausted)
        m_lease.writeOutcomeUnknown();
}

Task<void> DutyRunner::agreeOnTimeOffset()
{
    if (m_state.commonTime.known() || !m_state.commonTime.storeClockKnown())
        co_return;
    const SteadyTime now = m_state.clock.steadyNow();
    if (m_state.settings.firstStart) {
        if (!m_candidate && now - m_startedAt < PeerTimeWait)
            co_return;
    } else {
        // The other instances agreed on the offset long ago. Requests that begin before it is known
        // here are not counted.
        co_await readLease();
        if (m_state.commonTime.known())
            co_return;
    }
    const auto offset = m_state.commonTime.localOffset(m_state.clock.wallNow(), now);
    // The first write sets the offset for all instances; the others read its row.
    std::vector<platform::RowCondition> conditions { { dutyRow(TimeOffsetKey), 0 } };
    std::vector<platform::RowWrite> writes { { dutyRow(TimeOffsetKey),
                                               std::to_string(offset.count()) } };
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    if (done)
        m_state.commonTime.setOffset(offset);
    else
        co_await readLease();
}

Task<void> DutyRunner::leave()
{
    co_await storeCounts();
    if (const auto write = m_lease.release())
        co_await writeLease(*write);
}

} // namespace snipestall::gateway
