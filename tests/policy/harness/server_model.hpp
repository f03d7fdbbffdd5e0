#pragma once

#include "snipestall/policy/time.hpp"

#include <cstddef>
#include <cstdint>

namespace snipestall::policy::harness {

/// Prompt tokens in one block of a prefix chain.
inline constexpr std::uint32_t BlockTokens = 256;

/// How fast a fake backend server is, and what it holds.
struct ServerModel
{
    /// Batch size up to which a token takes `interToken`; beyond it grows in proportion.
    std::uint32_t slots = 8;
    std::uint32_t maxBatch = 12;
    /// Requests that wait inside the engine; beyond them it declines.
    std::uint32_t queueLimit = 24;
    Duration interToken = std::chrono::milliseconds(22);
    double prefillTokensPerSecond = 8000;
    std::size_t cacheBlocks = 400;
    double kvTokensPerSecond = 10000;
};

} // namespace snipestall::policy::harness
