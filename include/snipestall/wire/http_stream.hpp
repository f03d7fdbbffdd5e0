#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/task.hpp"

#include <optional>
#include <string>

namespace snipestall::wire {

/// A response whose body is read as it comes. Destroying it before its end closes the connection,
/// so a connection with an unread answer is never reused.
class HttpStream
{
public:
    virtual ~HttpStream() = default;

    /// Status and fields; the body is empty.
    [[nodiscard]] virtual const HttpResponse &head() const = 0;
    /// Next bytes of the body; nothing at its proper end; OutcomeUnknown if it was cut.
    virtual Task<Result<std::optional<std::string>>> read() = 0;
    /// Breaks off a read() under way.
    virtual void close() = 0;
};

} // namespace snipestall::wire
