#include "snipestall/gateway/table_exchange.hpp"

#include "snipestall/gateway/table_copy.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
namespace v1 = exchange::v1;

namespace {

constexpr milliseconds MaxAge { 3600000 };

} // namespace

TableExchange::TableExchange(std::string instance, std::string dataCentre, std::uint64_t seed)
    : m_instance(std::move(instance))
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{ }

void TableExchange::addTable(const TableCopy &copy)
{
    m_tables.emplace(copy.table(), Table { &copy, {}, ChangeFetch(m_random.next()) });
}

void TableExchange::reportReceived(const v1::LoadReport &report, SteadyTime now)
{
    Peer &peer = m_peers[report.instance()];
    peer.dataCentre = report.data_centre();
    peer.lastReportAt = now;
    peer.takesChanges = report.takes_changes();
    for (const v1::TableState &state : report.tables()) {
        peer.versions[state.table()] = state.version();
        peer.ages[state.table()] = milliseconds(state.age_ms());
    }
}

bool TableExchange::hasLocalReader(const Peer &peer, const std::string &table) const
{
    const auto age = peer.ages.find(table);
    return peer.dataCentre != m_dataCentre && age != peer.ages.end()
        && age->second <= LocalCopyMaxAge;
}

void TableExchange::addTo(v1::LoadReport &report, const std::string &receiver, SteadyTime now)
{
    report.set_takes_changes(true);
    const auto peer = m_peers.find(receiver);
    for (auto &[name, table] : m_tables) {
        v1::TableState *state = report.add_tables();
        state->set_table(name);
        state->set_version(table.copy->version());
        state->set_age_ms(
            static_cast<std::uint32_t>(std::min(table.copy->age(now), MaxAge).count()));
        if (peer != m_peers.end() && peer->second.versions.contains(name)
            && !hasLocalReader(peer->second, name))
            addChanges(*state, table, peer->second, now);
    }
}

void TableExchange::addChanges(v1::TableState &state, Table &table, const Peer &receiver,
                               SteadyTime now)
{
    const std::int64_t from = receiver.versions.at(state.table());
    if (from >= table.copy->version())
        return;
    if (!receiver.takesChanges) {
        addPlainRows(state, *table.copy, from);
        return;
    }
    const ChangeOffers::Offer offer = table.offers.offer(*table.copy, from, now);
    if (!offer.bytes)
        return;
    if (offer.bytes->size() <= MaxReportBytes)
        state.set_changes(*offer.bytes);
    else
        state.set_fetch(true);
}

void TableExchange::addPlainRows(v1::TableState &state, const TableCopy &copy, std::int64_t from)
{
    const auto changes = copy.since(from);
    if (!changes)
        return;
    std::size_t bytes = 0;
    for (const RowChange &row : changes->rows) {
        bytes += row.value.size();
        if (row.baseVersion || bytes > MaxPlainBytes)
            return;
    }
    state.set_rows_from(from);
    for (const RowChange &row : changes->rows) {
        v1::TableRow *entry = state.add_rows();
        entry->set_key(row.key);
        entry->set_value(row.value);
        entry->set_version(row.version);
        entry->set_removed(row.removed);
    }
}

Result<std::optional<TableChanges>> TableExchange::changesIn(const v1::TableState &state)
{
    if (!state.changes().empty()) {
        auto changes = decodeChanges(state.changes());
        if (!changes)
            return tl::unexpected<Error>(changes.error());
        return std::optional<TableChanges>(std::move(*changes));
    }
    if (state.rows_from() == 0)
        return std::nullopt;
    TableChanges changes { state.rows_from(), state.version(), {} };
    for (const v1::TableRow &row : state.rows())
        changes.rows.push_back(
            { row.key(), row.version(), row.removed(), std::nullopt, row.value() });
    return std::optional<TableChanges>(std::move(changes));
}

void TableExchange::offered(const std::string &peer, const v1::TableState &state, SteadyTime now)
{
    const auto table = m_tables.find(state.table());
    if (state.fetch() && table != m_tables.end())
        table->second.fetch.offered(peer, state.version(), now);
}

void TableExchange::rejected(const std::string &table, const std::string &peer,
                             std::int64_t version, SteadyTime now)
{
    ChangeFetch &fetch = m_tables.at(table).fetch;
    fetch.rejected();
    fetch.offered(peer, version, now);
}

std::vector<TableExchange::Request> TableExchange::dueRequests(SteadyTime now)
{
    std::vector<Request> requests;
    for (auto &[name, table] : m_tables) {
        if (const auto request = table.fetch.next(table.copy->version(), now))
            requests.push_back({ request->peer, name, *request });
    }
    return requests;
}

v1::ChangesRequest TableExchange::messageOf(const Request &request) const
{
    v1::ChangesRequest message;
    message.set_instance(m_instance);
    message.set_table(request.table);
    message.set_from(request.details.from);
    message.set_to(request.details.to);
    message.set_offset(request.details.offset);
    message.set_whole_rows(request.details.wholeRows);
    return message;
}

v1::ChangesAnswer TableExchange::answer(const v1::ChangesRequest &request, SteadyTime now)
{
    const auto table = m_tables.find(request.table());
    if (table == m_tables.end()) {
        v1::ChangesAnswer unknown;
        unknown.set_status(v1::ChangesAnswer::GONE);
        return unknown;
    }
    v1::ChangesAnswer answer = table->second.offers.answer(request, *table->second.copy, now);
    if (answer.status() == v1::ChangesAnswer::BUSY)
        addHolders(request, answer, now);
    return answer;
}

void TableExchange::addHolders(const v1::ChangesRequest &request, v1::ChangesAnswer &answer,
                               SteadyTime now)
{
    const auto receiver = m_peers.find(request.instance());
    if (receiver == m_peers.end())
        return;
    std::vector<const std::string *> holders;
    for (const auto &[name, peer] : m_peers) {
        const auto version = peer.versions.find(request.table());
        if (name != request.instance() && peer.takesChanges
            && peer.dataCentre == receiver->second.dataCentre
            && now - peer.lastReportAt <= HoldersReportWithin && version != peer.versions.end()
            && version->second > request.from())
            holders.push_back(&name);
    }
    for (std::size_t i = 0; i < MaxHolders && !holders.empty(); ++i) {
        const auto chosen = static_cast<std::ptrdiff_t>(m_random.below(holders.size()));
        answer.add_holders(*holders[static_cast<std::size_t>(chosen)]);
        holders.erase(holders.begin() + chosen);
    }
}

Result<std::optional<TableChanges>>
TableExchange::answered(const std::string &table, const v1::ChangesAnswer &answer, SteadyTime now)
{
    const auto encoded = m_tables.at(table).fetch.answered(answer, now);
    if (!encoded)
        return std::nullopt;
    auto changes = decodeChanges(*encoded);
    if (!changes)
        return tl::unexpected<Error>(changes.error());
    return std::optional<TableChanges>(std::move(*changes));
}

void TableExchange::failed(const std::string &table, SteadyTime now)
{
    m_tables.at(table).fetch.failed(now);
}

} // namespace snipestall::gateway
