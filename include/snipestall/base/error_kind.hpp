#pragma once

#include <string_view>

namespace snipestall {

/// Kind of a failure; tells the caller what it may conclude about the operation.
///
/// `Unavailable` guarantees that the operation had no effect. `OutcomeUnknown` guarantees nothing:
/// the operation may or may not have taken effect, and only reading the state back can tell.
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

/// Returns the name of a kind, such as "not-found".
std::string_view toString(ErrorKind kind);

} // namespace snipestall
