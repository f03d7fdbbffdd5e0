#pragma once

#include "snipestall/base/error.hpp"
#include "snipestall/wire/http_response.hpp"

namespace snipestall::admin {

struct RefusalMessage;

/// Returns the HTTP status with which the operators' API reports a kind of error.
int httpStatusOf(ErrorKind kind);

/// Returns the answer to a refused request, in the JSON envelope that all refusals use. Its status
/// is that of the error's kind, or 422 if the message lists faults of the settings.
wire::HttpResponse refusal(const RefusalMessage &message);
wire::HttpResponse refusal(const Error &error);

} // namespace snipestall::admin
