#pragma once

#include <compare>
#include <string>

namespace snipestall::platform {

/// Key of one row of the platform's table service.
struct RowKey
{
    std::string table;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

} // namespace snipestall::platform
