#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/task.hpp"

#include <optional>
#include <string>

namespace snipestall::wire {

/// A response whose body is read while it arrives. Destroying the stream before the end of the body
/// closes the connection, so that a connection with an unread response is never reused.
class HttpStream
{
public:
    virtual ~HttpStream() = default;

    /// Status and fields of the response; its body is empty.
    [[nodiscard]] virtual const HttpResponse &head() const = 0;
    /// Returns the next bytes of the body, or nothing at its end. Fails with OutcomeUnknown if the
    /// connection closed before the end, and with DeadlineExceeded after the idle timeout.
    virtual Task<Result<std::optional<std::string>>> read() = 0;
    /// Closes the connection; a pending read() fails.
    virtual void close() = 0;
};

} // namespace snipestall::wire
