#pragma once

#include "snipestall/base/error.hpp"
#include "snipestall/wire/http_response.hpp"

namespace snipestall::admin {

struct RefusalMessage;

/// HTTP status of a kind of error on the operators' API.
int statusOf(ErrorKind kind);

/// The one JSON envelope for anything refused.
wire::HttpResponse refusal(const RefusalMessage &message);
wire::HttpResponse refusal(const Error &error);

} // namespace snipestall::admin
