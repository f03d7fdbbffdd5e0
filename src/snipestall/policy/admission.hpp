#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct State;

/// Admits a request or refuses it at once.
void onRequestArrived(State &state, const RequestArrived &event);

/// Refuses queued requests that can no longer meet their deadline.
void expireQueued(State &state);

} // namespace snipestall::policy
