#include "platform/table.hpp"

#include <algorithm>

namespace snipestall::standins {

using platform::Row;
using platform::RowKey;

Row Table::rowAt(const RowKey &key) const
{
    const auto cell = m_cells.find(key);
    if (cell == m_cells.end())
        return { key, {}, 0 };
    return { key, cell->second.value, cell->second.version };
}

platform::TransactionOutcome Table::transact(const platform::Transaction &transaction)
{
    platform::TransactionOutcome outcome;
    for (const auto &condition : transaction.conditions) {
        Row row = rowAt(condition.key);
        if (row.version != condition.version)
            outcome.conflicts.push_back(std::move(row));
    }
    outcome.committed = outcome.conflicts.empty();
    if (!outcome.committed)
        return outcome;
    for (const auto &write : transaction.writes)
        apply(write);
    return outcome;
}

void Table::apply(const platform::Write &write)
{
    const auto cell = m_cells.find(write.key);
    if (!write.value) {
        if (cell == m_cells.end())
            return;
        m_greatestDeletedVersion = std::max(m_greatestDeletedVersion, cell->second.version);
        m_cells.erase(cell);
        return;
    }
    const std::uint64_t before =
        cell == m_cells.end() ? m_greatestDeletedVersion : cell->second.version;
    m_cells[write.key] = Cell { *write.value, before + 1 };
}

std::vector<Row> Table::read(std::span<const RowKey> keys) const
{
    std::vector<Row> rows;
    for (const auto &key : keys) {
        Row row = rowAt(key);
        if (row.version != 0)
            rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<Row> Table::scan(std::string_view table, std::string_view prefix,
                             std::string_view after, std::size_t limit) const
{
    std::vector<Row> rows;
    const std::string_view first = std::max(prefix, after);
    auto cell = m_cells.lower_bound({ std::string(table), std::string(first) });
    for (; cell != m_cells.end() && rows.size() < limit; ++cell) {
        const auto &[key, content] = *cell;
        if (key.table != table || !key.key.starts_with(prefix))
            break;
        if (after.empty() || key.key > after)
            rows.push_back({ key, content.value, content.version });
    }
    return rows;
}

} // namespace snipestall::standins
