#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct State;

/// Admits a request or refuses it at once.
void onRequestArrived(State &state, const RequestArrived &event);

/// Gives up on queued requests that can't make their deadline any more.
void expireQueued(State &state);

} // namespace snipestall::policy
