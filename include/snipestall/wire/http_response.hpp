#pragma once

#include "snipestall/wire/http_fields.hpp"

#include <string>

namespace snipestall::wire {

/// An HTTP response with its complete body.
struct HttpResponse
{
    int status = 200;
    HttpFields fields;
    std::string body;

    /// Returns a response with the content type application/json.
    static HttpResponse json(int status, std::string body);
};

} // namespace snipestall::wire
