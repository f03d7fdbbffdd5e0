#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct State;

void onTokensProduced(State &state, const TokensProduced &event);
void onAttemptEnded(State &state, const AttemptEnded &event);
void onRequestCancelled(State &state, const RequestCancelled &event);

/// Puts requests whose backoff has ended back into their queues.
void resumeDelayed(State &state);

} // namespace snipestall::policy
