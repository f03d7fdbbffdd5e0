#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

namespace snipestall::wire {
class HttpClient;
}

namespace snipestall::entry {

/// Returns whether a backend server whose connection has just broken has terminated, that is,
/// whether it refuses connections.
///
/// A terminating process closes its sockets one after the other, and on a busy machine it may still
/// accept a new connection and then break it off. If such a connection counted as a sign of life,
/// the crash would not be counted against the request that caused it, and the request would crash
/// one server more than allowed. Therefore a probe whose connection breaks off is inconclusive and
/// is repeated; only a refused connection or a response decides. A server that does not respond in
/// time counts as slow, not as terminated.
wire::Task<bool> hasTerminated(wire::HttpClient &http, wire::Endpoint server);

} // namespace snipestall::entry
