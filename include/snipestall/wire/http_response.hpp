#pragma once

#include "snipestall/wire/http_fields.hpp"

#include <string>

namespace snipestall::wire {

struct HttpResponse
{
    int status = 200;
    HttpFields fields;
    std::string body;

    /// A JSON answer.
    static HttpResponse json(int status, std::string body);
};

} // namespace snipestall::wire
