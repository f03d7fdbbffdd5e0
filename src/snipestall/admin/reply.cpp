#include "reply.hpp"

#include "snipestall/admin/messages.hpp"

#include <array>

namespace snipestall::admin {
namespace {

struct StatusOfKind
{
    ErrorKind kind;
    int status;
};

constexpr int InternalServerError = 500;
constexpr std::array Statuses {
    StatusOfKind { ErrorKind::InvalidArgument, 400 },
    StatusOfKind { ErrorKind::Unauthenticated, 401 },
    StatusOfKind { ErrorKind::PermissionDenied, 403 },
    StatusOfKind { ErrorKind::NotFound, 404 },
    StatusOfKind { ErrorKind::Conflict, 409 },
    StatusOfKind { ErrorKind::TooLarge, 413 },
    StatusOfKind { ErrorKind::Exhausted, 429 },
    StatusOfKind { ErrorKind::Unavailable, 503 },
    StatusOfKind { ErrorKind::OutcomeUnknown, 504 },
    StatusOfKind { ErrorKind::DeadlineExceeded, 504 },
};

} // namespace

int httpStatusOf(ErrorKind kind)
{
    for (const StatusOfKind &entry : Statuses) {
        if (entry.kind == kind)
            return entry.status;
    }
    return InternalServerError;
}

wire::HttpResponse refusal(const RefusalMessage &message)
{
    constexpr int UnprocessableContent = 422;
    const int status =
        message.faults.empty() ? httpStatusOf(message.error.kind) : UnprocessableContent;
    wire::HttpResponse response = wire::HttpResponse::json(status, encodeRefusal(message));
    if (message.error.kind == ErrorKind::Unauthenticated)
        response.fields.set("WWW-Authenticate", "Bearer");
    if (message.error.kind == ErrorKind::Unavailable)
        response.fields.set("Retry-After", "1");
    return response;
}

wire::HttpResponse refusal(const Error &error)
{
    RefusalMessage message;
    message.error = error;
    return refusal(message);
}

} // namespace snipestall::admin
