#pragma once

#include "snipestall/policy/event.hpp"
#include "snipestall/policy/time.hpp"

namespace snipestall::policy {

struct Server;
struct State;

/// Adapts the concurrency limit of a backend server to its inter-token time. `pace` is the time for
/// one token divided by the target time: 1 just meets the target.
void observePace(State &state, Server &server, double pace);

/// Applies the load that a backend server reports for itself.
void onServerReport(State &state, const ServerReport &event);

/// Records that a prefix entered or left a backend server's cache.
void onCacheChanged(State &state, const CacheChanged &event);

} // namespace snipestall::policy
