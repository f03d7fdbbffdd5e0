#pragma once

#include "platform/kv_cache_client.hpp"
#include "snipestall/serving/server_table.hpp"

#include <optional>

namespace snipestall::gateway {

/// Move of one running stream to another server, from its request on.
struct StreamMove
{
    serving::ServerStatePtr target;
    /// Set when the call has ended.
    std::optional<platform::StreamMoveResult> result;

    [[nodiscard]] bool mayHaveStopped() const { return !result || result->mayHaveStopped(); }
};

} // namespace snipestall::gateway
