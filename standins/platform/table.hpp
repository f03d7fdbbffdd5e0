#pragma once

#include "snipestall/platform/row.hpp"
#include "snipestall/platform/transaction.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::standins {

/// In-memory implementation of the platform's transactional table.
class Table
{
public:
    /// Applies all writes if every condition holds, otherwise none. Increments the version of each
    /// written row by one. A row that is recreated after a deletion gets a version greater than any
    /// deleted row had, so that no version of the row is reused.
    platform::TransactionOutcome transact(const platform::Transaction &transaction);
    [[nodiscard]] std::vector<platform::Row> read(std::span<const platform::RowKey> keys) const;
    [[nodiscard]] std::vector<platform::Row> scan(std::string_view table, std::string_view prefix,
                                                  std::string_view after, std::size_t limit) const;

private:
    struct Cell
    {
        std::string value;
        std::uint64_t version = 0;
    };

    [[nodiscard]] platform::Row rowAt(const platform::RowKey &key) const;
    void apply(const platform::Write &write);

    std::map<platform::RowKey, Cell> m_cells;
    std::uint64_t m_greatestDeletedVersion = 0;
};

} // namespace snipestall::standins
