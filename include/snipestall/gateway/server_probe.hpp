#pragma once

#include "snipestall/serving/server_table.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace snipestall::gateway {

struct GatewayState;

/// Returns whether a server accepts a connection within this time.
wire::Task<bool> acceptsConnections(boost::asio::io_context &io, wire::Endpoint address,
                                    std::chrono::milliseconds timeout);

/// Determines whether a server that cut off an answer has ended, and reports the result to the
/// crash watch. Opens at most two connections and sends nothing on them. It is to be run once for
/// each server and cut-off answer.
wire::Task<void> probeServerEnd(GatewayState &state, serving::ServerStatePtr server);

} // namespace snipestall::gateway
