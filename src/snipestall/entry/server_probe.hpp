#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

namespace snipestall::wire {
class HttpClient;
}

namespace snipestall::entry {

/// Whether a backend server whose connection has just broken has ended: it refuses connections.
///
/// Failure: a process that ends closes one socket after the other, and on a busy machine a new
/// connection may still be taken and broken off in between. Judged by that one, the server's death
/// is not counted against the request that caused it, and the request takes down one server more
/// than it may. So a probe that breaks off says nothing and is repeated; only a refusal or an
/// answer decides. A server that says nothing at all is taken for slow, not for ended.
wire::Task<bool> hasEnded(wire::HttpClient &http, wire::Endpoint server);

} // namespace snipestall::entry
