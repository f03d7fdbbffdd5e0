#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct State;

void onTokensProduced(State &state, const TokensProduced &event);
void onAttemptEnded(State &state, const AttemptEnded &event);
void onRequestCancelled(State &state, const RequestCancelled &event);

} // namespace snipestall::policy
