#pragma once

#include <chrono>
#include <cstdint>

namespace snipestall::serving {

/// Limits on the size of the requests of a caller and on the time that they may take to arrive.
struct TrafficLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
    /// A connection between two requests is kept for this long even if `idleTimeout` is shorter.
    std::chrono::milliseconds keptAtLeast { 0 };
};

} // namespace snipestall::serving
