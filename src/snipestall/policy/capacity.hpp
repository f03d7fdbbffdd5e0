#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct State;

/// Starts what demand asks for where it is expected to cost least, and releases what is not needed.
void onCapacityReport(State &state, const CapacityReport &event);

/// The cloud has none of this class at the moment: try another, and this one later.
void onStartRefused(State &state, const StartRefused &event);

} // namespace snipestall::policy
