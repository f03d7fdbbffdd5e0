#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct Request;
struct State;

/// Decides on a request whose attempt failed: again, later, or given up.
void retry(State &state, Request &request, const AttemptEnded &event);

/// Puts requests whose backoff has ended back into their queues, as the retry budget allows.
void resumeDelayed(State &state);

} // namespace snipestall::policy
