#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <chrono>
#include <vector>

namespace snipestall::policy {

struct Pool;
struct Request;
struct State;

/// After which a request that goes back to its home may be sent elsewhere.
constexpr Duration RetryElsewhere = std::chrono::milliseconds(200);

/// What waits for a backend server of the pool, latest start first. Scans all requests.
std::vector<RequestHandle> waitingFor(const State &state, const Pool &pool);

/// Whether any backend server of the pool can still be given work here.
bool hasServer(const Pool &pool);

/// The last backend server of a pool is gone: what waits here for another can't count on one.
/// What a peer forwarded goes back to it; what is this instance's own is queued, so that it can
/// be forwarded. Scans all requests, which the loss of a whole pool is rare enough for.
void releaseStranded(State &state, Pool &pool);

/// Queues what was lost with the last backend server, or gives it back to the peer it came from.
/// False if the pool has a server, or lost its last one by an announced reclaim.
bool startElsewhere(State &state, Request &request);

} // namespace snipestall::policy
