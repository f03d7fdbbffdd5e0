#pragma once

namespace snipestall::gateway {

/// Who sends the requests of a connection.
enum class RequestOrigin {
    Caller,
    /// Another instance, which forwards requests of its callers.
    Instance,
};

} // namespace snipestall::gateway
