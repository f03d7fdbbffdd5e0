#include "snipestall/gateway/table_copy.hpp"

#include "snipestall/wire/delta.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace snipestall::gateway {

using platform::StoredRow;
using std::chrono::milliseconds;

TableCopy::TableCopy(std::string table)
    : m_table(std::move(table))
{ }

void TableCopy::readWhole(const std::vector<StoredRow> &rows, std::int64_t version)
{
    if (m_version == 0) {
        m_version = version;
        m_keptAfter = version;
        m_confirmedAt = m_readBegunAt;
        for (const StoredRow &row : rows)
            remember(row);
        return;
    }
    std::vector<StoredRow> ordered = rows;
    std::sort(ordered.begin(), ordered.end(),
              [](const StoredRow &a, const StoredRow &b) { return a.version < b.version; });
    advance(ordered, version, true, m_readBegunAt);
}

void TableCopy::remember(const StoredRow &row)
{
    if (row.removed || row.value.size() < LargeRowBytes)
        m_largeRows.erase(row.name.key);
    else
        m_largeRows[row.name.key] = { row.version, row.value };
}

RowChange TableCopy::changeOf(const StoredRow &row)
{
    RowChange change { row.name.key, row.version, row.removed, std::nullopt, std::string() };
    if (row.removed || row.value.size() < LargeRowBytes) {
        change.value = row.value;
    } else {
        const auto base = m_largeRows.find(row.name.key);
        const bool known = base != m_largeRows.end();
        change.baseVersion = known ? base->second.version : 0;
        change.value = wire::compress(row.value, known ? base->second.value : std::string_view());
    }
    remember(row);
    return change;
}

void TableCopy::keepRows(const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        if (row.version > m_version)
            keep(changeOf(row));
    }
}

void TableCopy::keep(RowChange change)
{
    m_keptBytes += change.value.size();
    m_changes.push_back(std::move(change));
    while (m_changes.size() > MaxKeptChanges
           || (m_keptBytes > MaxKeptBytes && m_changes.size() > 1)) {
        m_keptAfter = m_changes.front().version;
        m_keptBytes -= m_changes.front().value.size();
        m_changes.pop_front();
    }
}

void TableCopy::advance(const std::vector<StoredRow> &rows, std::int64_t version, bool complete,
                        SteadyTime now)
{
    keepRows(rows);
    m_version = std::max(m_version, version);
    if (!complete)
        return;
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, now) : now;
}

Result<StoredRow> TableCopy::rowAfter(const RowChange &change, const LargeRow *before) const
{
    StoredRow row {
        { m_table, std::string(), change.key }, std::string(), change.version, change.removed
    };
    if (!change.baseVersion) {
        row.value = change.value;
        return row;
    }
    const bool hasBase = *change.baseVersion != 0;
    if (hasBase && (before == nullptr || before->version != *change.baseVersion))
        return fail(ErrorKind::InvalidArgument,
                    "row " + change.key + " is a difference to version "
                        + std::to_string(*change.baseVersion)
                        + ", which this copy does not have; request the whole row");
    auto value =
        wire::decompress(change.value, MaxRowBytes, hasBase ? before->value : std::string_view());
    if (!value)
        return tl::unexpected<Error>(value.error());
    row.value = std::move(*value);
    return row;
}

Result<std::vector<StoredRow>> TableCopy::advanceFromPeer(const TableChanges &changes)
{
    // If there were a gap before the changes, the changes within it would be lost permanently.
    if (m_version == 0 || changes.from > m_version || changes.to <= m_version)
        return fail(ErrorKind::Conflict, "the changes do not continue this copy; request others");
    // The copy is not changed before all rows are known.
    std::map<std::string, StoredRow> last;
    for (const RowChange &change : changes.rows) {
        // A change that this copy already contains would overwrite a later one.
        if (change.version <= m_version)
            continue;
        std::optional<LargeRow> before;
        if (const auto changed = last.find(change.key); changed != last.end())
            before = LargeRow { changed->second.version, std::move(changed->second.value) };
        const auto known = m_largeRows.find(change.key);
        const LargeRow *own = known == m_largeRows.end() ? nullptr : &known->second;
        auto row = rowAfter(change, before ? &*before : own);
        if (!row)
            return tl::unexpected<Error>(row.error());
        last[change.key] = std::move(*row);
    }
    for (const RowChange &change : changes.rows) {
        if (change.version > m_version)
            keep(change);
    }
    std::vector<StoredRow> rows;
    for (auto &[key, row] : last) {
        remember(row);
        rows.push_back(std::move(row));
    }
    std::sort(rows.begin(), rows.end(),
              [](const StoredRow &a, const StoredRow &b) { return a.version < b.version; });
    m_version = changes.to;
    return rows;
}

void TableCopy::confirm(std::int64_t version, milliseconds age, SteadyTime now)
{
    if (version < m_version || m_version == 0)
        return;
    // A copy of a later version contains changes that this one lacks.
    if (version > m_version)
        return;
    const SteadyTime at = now - age;
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
}

milliseconds TableCopy::age(SteadyTime now) const
{
    if (!m_confirmedAt)
        return milliseconds::max();
    return std::chrono::duration_cast<milliseconds>(now - *m_confirmedAt);
}

std::optional<TableChanges> TableCopy::since(std::int64_t version) const
{
    if (version < m_keptAfter || version >= m_version)
        return std::nullopt;
    TableChanges changes { version, m_version, {} };
    // Rows whose earlier changes are not needed, because a later one replaces the whole value.
    std::set<std::string> replaced;
    for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
        if (change->version <= version)
            break;
        if (replaced.contains(change->key))
            continue;
        changes.rows.push_back(*change);
        if (change->baseVersion.value_or(0) == 0)
            replaced.insert(change->key);
    }
    std::reverse(changes.rows.begin(), changes.rows.end());
    return changes;
}

std::optional<TableChanges> TableCopy::wholeSince(std::int64_t version) const
{
    auto changes = since(version);
    if (!changes)
        return std::nullopt;
    std::set<std::string> large;
    std::erase_if(changes->rows, [&large](const RowChange &row) {
        return row.baseVersion && !large.insert(row.key).second;
    });
    for (RowChange &row : changes->rows) {
        if (!row.baseVersion)
            continue;
        const LargeRow &current = m_largeRows.at(row.key);
        row.version = current.version;
        row.baseVersion = 0;
        row.value = wire::compress(current.value);
    }
    std::sort(changes->rows.begin(), changes->rows.end(),
              [](const RowChange &a, const RowChange &b) { return a.version < b.version; });
    return changes;
}

} // namespace snipestall::gateway
