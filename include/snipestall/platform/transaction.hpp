#pragma once

#include "snipestall/platform/row.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::platform {

/// The row must be at this version; 0 means that it must not exist.
struct Condition
{
    RowKey key;
    std::uint64_t version = 0;
};

/// Puts a value, or deletes the row when there is none.
struct Write
{
    RowKey key;
    std::optional<std::string> value;
};

/// All or nothing: if each condition holds, each write takes effect.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

struct TransactionOutcome
{
    bool committed = false;
    /// When not committed: the rows whose conditions failed, as they are (version 0 if absent).
    std::vector<Row> conflicts;
};

} // namespace snipestall::platform
