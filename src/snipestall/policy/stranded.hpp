#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <chrono>
#include <vector>

namespace snipestall::policy {

struct Pool;
struct Request;
struct State;

/// Time after which the home of a request that is refused back to it may send the request
/// elsewhere.
constexpr Duration StrandedRetryAfter = std::chrono::milliseconds(200);

/// Requests that wait for a backend server of the pool, ordered by their latest start. Scans all
/// requests.
std::vector<RequestHandle> waitingRequests(const State &state, const Pool &pool);

/// Whether the pool has a backend server here that is not gone.
bool hasServer(const Pool &pool);

/// Releases the requests that wait here for a pool whose last backend server is gone, because no
/// other server may come. Requests that a peer forwarded are refused back to it; suspects of this
/// instance are queued, so that they can be forwarded. Scans all requests, which is acceptable
/// because the loss of a whole pool is rare.
void releaseStranded(State &state, Pool &pool);

/// Queues a request that was lost with the last backend server, or refuses it back to the peer that
/// forwarded it. Returns false if the pool has a server, or lost its last one to an announced
/// reclaim.
bool startElsewhere(State &state, Request &request);

} // namespace snipestall::policy
