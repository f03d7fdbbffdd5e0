#pragma once

#include "snipestall/gateway/backend_call.hpp"
#include "snipestall/serving/server_table.hpp"

#include <string>

namespace snipestall::gateway {

struct GatewayState;

/// Records what a backend server says about itself in the head of an answer, and logs it.
/// `attempt`: the attempt on whose connection the answer came.
void recordNotice(GatewayState &state, serving::ServerState &server, const std::string &attempt,
                  const BackendCall::Head &head);

/// Forgets the rests that are over.
void endRests(GatewayState &state);

} // namespace snipestall::gateway
