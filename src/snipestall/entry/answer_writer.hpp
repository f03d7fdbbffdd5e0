#pragma once

#include "snipestall/entry/request.hpp"
#include "snipestall/wire/task.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::wire {
class HttpExchange;
struct HttpResponse;
} // namespace snipestall::wire

namespace snipestall::entry {

/// How a caller wants to receive an answer.
struct AnswerFormat
{
    /// Chat completion format instead of text completion format.
    bool chat = true;
    bool stream = false;
    /// First offset to send; the caller already has everything before it.
    std::uint64_t from = 0;
};

/// Writes the answer of a request to its caller as it arrives, each offset once. Refusals and
/// failures are written as the JSON error object. Returns when everything is written; throws if the
/// caller closes the connection.
wire::Task<void> writeAnswer(wire::HttpExchange &exchange, RequestPtr request, AnswerFormat form);

/// Builds the JSON error object that all errors use. No Retry-After header is set if `retryAfter`
/// is zero.
wire::HttpResponse errorResponse(int status, std::string_view outcome, std::string_view type,
                                 std::string_view message,
                                 std::chrono::milliseconds retryAfter = {});

} // namespace snipestall::entry
