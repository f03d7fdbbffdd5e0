#pragma once

#include "snipestall/policy/event.hpp"

namespace snipestall::policy {

struct State;

void onSettingsChanged(State &state, const SettingsChanged &event);
void onServerUp(State &state, const ServerUp &event);
void onServerLeaving(State &state, const ServerLeaving &event);
void onServerGone(State &state, const ServerGone &event);
void onPeerSummary(State &state, const PeerSummary &event);
void onPeerGone(State &state, const PeerGone &event);

} // namespace snipestall::policy
