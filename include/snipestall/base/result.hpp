#pragma once

#include "snipestall/base/error.hpp"

#include <tl/expected.hpp>

#include <string>
#include <utility>

namespace snipestall {

/// Value or Error; return type of functions that are expected to fail, static factories included.
template<typename T>
using Result = tl::expected<T, Error>;

/// Returns an error that converts to any Result.
inline tl::unexpected<Error> fail(ErrorKind kind, std::string message)
{
    return tl::unexpected<Error>(Error { kind, std::move(message) });
}

} // namespace snipestall
