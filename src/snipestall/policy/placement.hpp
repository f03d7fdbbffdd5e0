#pragma once

namespace snipestall::policy {

struct State;

/// Dispatches queued requests to free slots here, and forwards to peers what can't start here soon.
void placeQueued(State &state);

} // namespace snipestall::policy
