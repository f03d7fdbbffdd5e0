#pragma once

#include <string_view>

namespace snipestall {

/// What a caller of a failed operation may conclude.
///
/// `Unavailable` promises that the operation had no effect. `OutcomeUnknown` makes no promise:
/// the operation may or may not have taken effect, and only a read can tell.
enum class ErrorKind {
    InvalidArgument,
    Unauthenticated,
    PermissionDenied,
    NotFound,
    Conflict,
    TooLarge,
    Exhausted,
    Unavailable,
    OutcomeUnknown,
    DeadlineExceeded,
    Internal,
};

std::string_view toString(ErrorKind kind);

} // namespace snipestall
