#pragma once

namespace snipestall::policy {

struct Pool;
struct State;

/// Forwards queued requests to peers that would start them sooner. A request that a peer
/// forwarded here stays here: two instances that each believe the other idle would pass it to
/// and fro until its deadline.
void forwardQueued(State &state, Pool &pool);

} // namespace snipestall::policy
