#pragma once

#include "snipestall/base/error_kind.hpp"

#include <string>

namespace snipestall {

/// A failure that the caller is expected to handle. The message says how to remedy it.
///
///     return fail(ErrorKind::NotFound, "no service 'x'; list them with snipestallctl status");
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

} // namespace snipestall
