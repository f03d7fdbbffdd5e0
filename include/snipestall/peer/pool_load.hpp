#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::peer {

/// What one instance can take for one service, as it travels in heartbeats.
struct PoolLoad
{
    std::string service;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    std::uint32_t servers = 0;
    std::chrono::milliseconds wait {};
    std::vector<std::uint32_t> prefixSketch;
};

} // namespace snipestall::peer
