#pragma once

#include "snipestall/wire/http_fields.hpp"

#include <string>
#include <string_view>

namespace snipestall::wire {

/// An HTTP request with its complete body.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpFields fields;
    std::string body;

    /// The target without its query.
    [[nodiscard]] std::string_view path() const;
    /// Percent-decoded value of one query parameter; empty if it is absent.
    [[nodiscard]] std::string query(std::string_view name) const;
};

} // namespace snipestall::wire
