#include "snipestall/gateway/peer_tables.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
namespace v1 = exchange::v1;

namespace {

/// Several intervals of reports. A copy that is older is not kept up to date by the reader of its
/// data centre.
constexpr milliseconds LocalCopyMaxAge { 700 };
constexpr milliseconds MaxAge { 3600000 };

} // namespace

PeerTables::PeerTables(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{ }

void PeerTables::reportReceived(const v1::LoadReport &report)
{
    Peer &peer = m_peers[report.instance()];
    peer.dataCentre = report.data_centre();
    for (const v1::TableState &state : report.tables()) {
        peer.versions[state.table()] = state.version();
        peer.ages[state.table()] = milliseconds(state.age_ms());
    }
}

bool PeerTables::hasLocalReader(const Peer &peer, const std::string &table) const
{
    const auto age = peer.ages.find(table);
    return peer.dataCentre != m_dataCentre && age != peer.ages.end()
        && age->second <= LocalCopyMaxAge;
}

void PeerTables::addTo(v1::LoadReport &report, const std::string &receiver, const TableCopy &copy,
                       SteadyTime now) const
{
    v1::TableState *state = report.add_tables();
    state->set_table(copy.table());
    state->set_version(copy.version());
    state->set_age_ms(static_cast<std::uint32_t>(std::min(copy.age(now), MaxAge).count()));
    const auto found = m_peers.find(receiver);
    if (found == m_peers.end() || !found->second.versions.contains(copy.table())
        || hasLocalReader(found->second, copy.table()))
        return;
    const auto changes = copy.since(found->second.versions.at(copy.table()));
    if (!changes)
        return;
    state->set_rows_from(changes->from);
    for (const platform::StoredRow &row : changes->rows) {
        v1::TableRow *entry = state->add_rows();
        entry->set_key(row.name.key);
        entry->set_value(row.value);
        entry->set_version(row.version);
        entry->set_removed(row.removed);
    }
}

TableChanges PeerTables::changesIn(const v1::TableState &state)
{
    TableChanges changes { state.rows_from() == 0 ? state.version() : state.rows_from(),
                           state.version(),
                           {} };
    for (const v1::TableRow &row : state.rows())
        changes.rows.push_back({ { state.table(), std::string(), row.key() },
                                 row.value(),
                                 row.version(),
                                 row.removed() });
    return changes;
}

} // namespace snipestall::gateway
