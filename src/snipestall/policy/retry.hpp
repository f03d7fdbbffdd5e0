#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct Request;
struct State;

/// Decides whether a request whose attempt failed is retried at once, retried later or refused.
void retry(State &state, Request &request, const AttemptEnded &event);

/// Queues requests whose backoff has ended again, as far as the retry budget allows.
void resumeDelayed(State &state);

} // namespace snipestall::policy
