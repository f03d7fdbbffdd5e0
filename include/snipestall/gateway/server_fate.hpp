#pragma once

#include "snipestall/serving/server_table.hpp"
#include "snipestall/wire/task.hpp"

namespace snipestall::gateway {

struct GatewayState;

/// Finds out whether a server that broke off has ended, and tells the crash watch. Opens two
/// connections at most and sends nothing on them; to be run once a server and break.
wire::Task<void> lookForEnd(GatewayState &state, serving::ServerStatePtr server);

} // namespace snipestall::gateway
