#pragma once

namespace snipestall::policy {

struct Pool;
struct Request;
struct State;

/// Forwards queued requests to peers that would start them sooner. A request that a peer
/// forwarded here stays here: two instances that each believe the other idle would pass it to
/// and fro until its deadline.
void forwardQueued(State &state, Pool &pool);

/// For a pool that no backend server here can take work of: offers what waits in it, soonest first,
/// wherever there is room. What a peer forwarded here goes back to it for that. Scans all requests,
/// and only while a peer has room.
void offerStranded(State &state, Pool &pool);

/// Forwards a queued request to a peer with a free slot that has its prefix cached, when no
/// server here has. False when there is none.
bool forwardToCache(State &state, Request &request);

/// Forwards a queued request to whichever peer would start it first, though this instance could.
bool forwardAway(State &state, Request &request);

} // namespace snipestall::policy
