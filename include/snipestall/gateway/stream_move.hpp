#pragma once

#include "platform/kv_cache_client.hpp"
#include "snipestall/serving/server_table.hpp"

#include <optional>

namespace snipestall::gateway {

/// Move of one running stream to another server, from its request on.
struct StreamMove
{
    serving::ServerStatePtr target;
    bool ended = false;
    /// Set when the run has stopped and its KV cache is at the target.
    std::optional<platform::MovedStream> moved;
};

} // namespace snipestall::gateway
