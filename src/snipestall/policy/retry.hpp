#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct Request;
struct State;

/// Decides on a request whose attempt failed: again, later, or given up.
void retry(State &state, Request &request, const AttemptEnded &event);

} // namespace snipestall::policy
