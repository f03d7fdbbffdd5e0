#pragma once

#include "snipestall/policy/time.hpp"

#include <cstddef>
#include <cstdint>

namespace snipestall::policy::harness {

/// Number of prompt tokens in one block of a prefix chain.
inline constexpr std::uint32_t BlockTokens = 256;

/// The speed and the capacity of a fake backend server.
struct ServerModel
{
    /// Batch size up to which a token takes `interToken`. Beyond it the time for a token grows in
    /// proportion to the batch size.
    std::uint32_t slots = 8;
    std::uint32_t maxBatch = 12;
    /// Number of requests that wait inside the engine; the engine declines any beyond them.
    std::uint32_t queueLimit = 24;
    Duration interToken = std::chrono::milliseconds(22);
    double prefillTokensPerSecond = 8000;
    std::size_t cacheBlocks = 400;
    double kvTokensPerSecond = 10000;
};

} // namespace snipestall::policy::harness
