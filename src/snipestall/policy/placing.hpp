#pragma once

namespace snipestall::policy {

struct State;

/// Gives queued requests to free slots here, and what can't start here soon to peers.
void placeQueued(State &state);

} // namespace snipestall::policy
