#pragma once

namespace snipestall::policy {

struct Pool;
struct Request;
struct State;

/// Forwards queued requests to peers that would start them sooner. A request that a peer forwarded
/// to this instance stays here, because two instances that each believe the other to be idle would
/// pass it back and forth until its deadline.
void forwardQueued(State &state, Pool &pool);

/// Forwards the requests of a pool that has no usable backend server here, in order of their latest
/// start, to peers with room. A request that a peer forwarded here is refused back to that peer
/// instead. Scans all requests, but only while a peer has room.
void forwardStranded(State &state, Pool &pool);

/// Forwards a queued request to a peer that has a free slot and the request's prefix in a cache,
/// when no server here has the prefix. Returns false when there is no such peer.
bool forwardToCache(State &state, Request &request);

/// Forwards a queued request to the peer that would start it first, even if this instance could run
/// it. Returns false when no peer can take it.
bool forwardToFastestPeer(State &state, Request &request);

} // namespace snipestall::policy
