#pragma once

#include "snipestall/wire/http_fields.hpp"

#include <string>
#include <string_view>

namespace snipestall::wire {

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpFields fields;
    std::string body;

    /// Target without its query.
    [[nodiscard]] std::string_view path() const;
    /// Value of one query parameter, percent-decoded; empty if absent.
    [[nodiscard]] std::string query(std::string_view name) const;
};

} // namespace snipestall::wire
