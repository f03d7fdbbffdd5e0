#pragma once

#include "snipestall/policy/event.hpp"
#include "snipestall/policy/time.hpp"

namespace snipestall::policy {

struct Server;
struct State;

/// Adapts how many requests a backend server is given side by side to its inter-token time.
/// `pace` is the time one token took over the target: 1 is just in time.
void observePace(State &state, Server &server, double pace);

/// Takes a backend server's own account of its load.
void onServerReport(State &state, const ServerReport &event);

/// A prefix entered or left a backend server's cache.
void onCacheChanged(State &state, const CacheChanged &event);

} // namespace snipestall::policy
