#pragma once

#include "snipestall/base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::gateway {

/// A changed row in the form in which instances pass it on.
struct RowChange
{
    std::string key;
    std::int64_t version = 0;
    bool removed = false;
    /// If set, the value is compressed against the value that the same row had at this version; 0
    /// if it is compressed on its own.
    std::optional<std::int64_t> baseVersion;
    std::string value;
};

/// Changes of a table from one version to another.
struct TableChanges
{
    std::int64_t from = 0;
    std::int64_t to = 0;
    std::vector<RowChange> rows;
};

/// Encodes changes for other instances; the result is compressed.
std::string encodeChanges(const TableChanges &changes);
/// The error InvalidArgument means that the bytes are damaged or too large.
Result<TableChanges> decodeChanges(std::string_view encoded);

} // namespace snipestall::gateway
