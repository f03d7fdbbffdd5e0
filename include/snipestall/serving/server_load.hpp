#pragma once

#include "snipestall/serving/server_outcomes.hpp"

#include <cstdint>

namespace snipestall::serving {

/// Load that one instance has placed on one backend server.
struct ServerLoad
{
    std::uint32_t inFlight = 0;
    /// Prompt tokens of requests whose first token has not arrived yet.
    double pendingTokens = 0;
    /// Prompt tokens of all requests in flight, which is what they occupy of the KV cache.
    double heldTokens = 0;
    /// What the requests say that have ended there.
    ServerOutcomes outcomes;

    ServerLoad &operator+=(const ServerLoad &other)
    {
        inFlight += other.inFlight;
        pendingTokens += other.pendingTokens;
        heldTokens += other.heldTokens;
        outcomes += other.outcomes;
        return *this;
    }
};

} // namespace snipestall::serving
