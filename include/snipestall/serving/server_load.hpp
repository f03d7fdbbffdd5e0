#pragma once

#include "snipestall/serving/server_outcomes.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace snipestall::serving {

/// Requests of one band of urgency that wait for their first event at one backend server.
struct WaitingRequests
{
    std::uint32_t count = 0;
    /// Tokens of their prompts that the engine has to read.
    double tokens = 0;
};

/// Load that one instance has placed on one backend server.
struct ServerLoad
{
    /// Bands of urgency, the most urgent first; see EngineRanks.
    static constexpr std::size_t Bands = 3;

    std::uint32_t inFlight = 0;
    /// Prompt tokens of requests whose first token has not arrived yet.
    double pendingTokens = 0;
    /// Prompt tokens of all requests in flight, which is what they occupy of the KV cache.
    double heldTokens = 0;
    /// Outcomes of the requests that ended there recently.
    ServerOutcomes outcomes;
    /// The requests that wait for their first event, by band. Instances of earlier versions don't
    /// report them.
    std::array<WaitingRequests, Bands> waiting;

    ServerLoad &operator+=(const ServerLoad &other);
    ServerLoad &operator-=(const ServerLoad &other);
};

} // namespace snipestall::serving
