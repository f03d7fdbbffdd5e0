#pragma once

#include <compare>
#include <string>

namespace snipestall::serving {

/// The service and the software version of the server that wrote the first event of a stream. Only
/// servers with both can continue it.
struct StreamOrigin
{
    std::string service;
    std::string version;

    auto operator<=>(const StreamOrigin &other) const = default;
};

} // namespace snipestall::serving
