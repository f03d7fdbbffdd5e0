#pragma once

#include "snipestall/base/result.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::wire {

/// IP address and port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /// Parses "127.0.0.1:8080" or "[::1]:8080"; InvalidArgument for anything else, including host
    /// names.
    static Result<Endpoint> parse(std::string_view text);
    /// Returns the text form that parse() accepts.
    [[nodiscard]] std::string toString() const;
};

} // namespace snipestall::wire
