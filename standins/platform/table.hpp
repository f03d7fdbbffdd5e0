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

/// The platform's transactional table, in memory.
class Table
{
public:
    /// All or nothing. Raises the version of each row written by one; a row made anew after a
    /// deletion gets a version that no row had before.
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
    std::uint64_t m_greatestDeleted = 0;
};

} // namespace snipestall::standins
