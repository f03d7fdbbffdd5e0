#pragma once

#include "snipestall/platform/row.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::platform {

/// Requires that the row has this version; 0 requires that it does not exist.
struct Condition
{
    RowKey key;
    std::uint64_t version = 0;
};

/// Writes `value` to the row, or deletes the row if there is no value.
struct Write
{
    RowKey key;
    std::optional<std::string> value;
};

/// Atomic: if every condition holds, every write takes effect, otherwise none does.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/// Result of a transaction that the table service processed.
struct TransactionOutcome
{
    bool committed = false;
    /// If not committed: the current state of the rows whose conditions failed (version 0 if
    /// absent).
    std::vector<Row> conflicts;
};

} // namespace snipestall::platform
