// The part of LoadExchange that applies the changes of tables and fetches those that are too large
// for reports.

#include "snipestall/gateway/load_exchange.hpp"

#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/exchange_transport.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/store_follower.hpp"

#include "exchange.pb.h"

namespace snipestall::gateway {

using std::chrono::milliseconds;
namespace v1 = exchange::v1;

namespace {

/// A part takes some ten milliseconds on a small link. The answers to callers may fill it for
/// longer.
constexpr milliseconds PartTimeout { 1000 };

void logFault(const std::string &table, const std::string &peer, const Error &error)
{
    logEvent(events::TableChangesFaulty,
             { { "table", table }, { "peer", peer }, { "error", error.message } });
}

} // namespace

void LoadExchange::applyTables(const v1::LoadReport &report)
{
    const SteadyTime now = m_state.clock.steadyNow();
    m_tables.reportReceived(report, now);
    for (const v1::TableState &state : report.tables()) {
        const auto changes = TableExchange::changesIn(state);
        if (!changes)
            logFault(state.table(), report.instance(), changes.error());
        else if (*changes)
            applyChanges(state.table(), report.instance(), **changes);
        m_follower.confirmFromPeer(state.table(), state.version(), milliseconds(state.age_ms()));
        m_tables.offered(report.instance(), state, now);
    }
    fetchChanges();
}

void LoadExchange::applyChanges(const std::string &table, const std::string &peer,
                                const TableChanges &changes)
{
    m_state.loopWork.rows += changes.rows.size();
    const auto applied = m_follower.applyPeerChanges(table, changes);
    // Changes that do not continue this copy are ones that another peer has passed on before.
    if (applied || applied.error().kind == ErrorKind::Conflict)
        return;
    logFault(table, peer, applied.error());
    m_tables.rejected(table, peer, changes.to, m_state.clock.steadyNow());
}

void LoadExchange::fetchChanges()
{
    for (const TableExchange::Request &request : m_tables.dueRequests(m_state.clock.steadyNow()))
        requestChanges(request);
}

void LoadExchange::requestChanges(const TableExchange::Request &request)
{
    const auto peer = m_peers.find(request.peer);
    if (peer == m_peers.end()) {
        m_tables.failed(request.table, m_state.clock.steadyNow());
        return;
    }
    const auto done = [this, request](const Result<const v1::ChangesAnswer *> &answer) {
        const SteadyTime now = m_state.clock.steadyNow();
        if (!answer) {
            m_tables.failed(request.table, now);
            return;
        }
        const auto changes = m_tables.answered(request.table, **answer, now);
        if (!changes) {
            logFault(request.table, request.peer, changes.error());
        } else if (*changes) {
            ++m_state.counters.changesFetched;
            logEvent(events::TableChangesFetched,
                     { { "table", request.table },
                       { "peer", request.peer },
                       { "from", std::to_string((*changes)->from) },
                       { "to", std::to_string((*changes)->to) },
                       { "bytes", std::to_string((*answer)->size()) } });
            applyChanges(request.table, request.peer, **changes);
        }
        fetchChanges();
    };
    peer->second.channel->fetch(m_tables.messageOf(request), PartTimeout, done);
}

void LoadExchange::answerChanges(const v1::ChangesRequest &request, v1::ChangesAnswer *answer)
{
    if (answer == nullptr)
        return;
    *answer = m_tables.answer(request, m_state.clock.steadyNow());
    m_work.bytes += answer->part().size();
    m_work.rowBytes += answer->part().size();
}

} // namespace snipestall::gateway
