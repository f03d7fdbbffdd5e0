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
};

} // namespace snipestall::serving
