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

/// How a caller wants to read an answer.
struct AnswerForm
{
    bool chat = true;
    bool stream = false;
    /// First offset to send; what lies before is with the caller already.
    std::uint64_t from = 0;
};

/// Writes a request's answer to its caller as it comes, each offset once; refusals and failures
/// in the one JSON envelope. Returns when all is written; throws if the caller hangs up.
wire::Task<void> writeAnswer(wire::HttpExchange &exchange, RequestPtr request, AnswerForm form);

/// The one JSON envelope for errors. `retryAfter` zero: no such header.
wire::HttpResponse errorResponse(int status, std::string_view outcome, std::string_view type,
                                 std::string_view message,
                                 std::chrono::milliseconds retryAfter = {});

} // namespace snipestall::entry
