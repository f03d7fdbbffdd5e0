#include "snipestall/base/error_kind.hpp"

namespace snipestall {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid-argument";
    case ErrorKind::Unauthenticated:
        return "unauthenticated";
    case ErrorKind::PermissionDenied:
        return "permission-denied";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::TooLarge:
        return "too-large";
    case ErrorKind::Exhausted:
        return "exhausted";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorKind::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace snipestall
