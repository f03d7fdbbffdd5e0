#pragma once

#include "snipestall/base/error.hpp"

#include <tl/expected.hpp>

#include <string>
#include <utility>

namespace snipestall {

/// Value or Error; the return type of static factories and of expected failures.
template<typename T>
using Result = tl::expected<T, Error>;

/// Builds the error side of any Result.
inline tl::unexpected<Error> fail(ErrorKind kind, std::string message)
{
    return tl::unexpected<Error>(Error { kind, std::move(message) });
}

} // namespace snipestall
