#pragma once

#include "snipestall/platform/row_key.hpp"

#include <cstdint>
#include <string>

namespace snipestall::platform {

/// A row as read. The service increases `version` with each write; it is never 0 for a row that
/// exists.
struct Row
{
    RowKey key;
    std::string value;
    std::uint64_t version = 0;
};

} // namespace snipestall::platform
