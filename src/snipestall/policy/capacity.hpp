#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct State;

/// Starts the instances that demand needs, where their expected cost is lowest, and releases
/// instances that are not needed.
void onCapacityReport(State &state, const CapacityReport &event);

/// Backs off from a class that the cloud has no instances of at the moment, so that another class
/// is tried first and this one again later.
void onStartRefused(State &state, const StartRefused &event);

} // namespace snipestall::policy
