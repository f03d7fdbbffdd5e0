#pragma once

#include <cstdint>

namespace snipestall::platform {

/// What this process asked of the platform, for metrics and for the write budget.
struct PlatformCounters
{
    std::uint64_t calls = 0;
    std::uint64_t transactions = 0;
    std::uint64_t reads = 0;
    std::uint64_t scans = 0;
    std::uint64_t rowWrites = 0;
    std::uint64_t failures = 0;
    /// Calls that an open circuit refused without asking the platform.
    std::uint64_t refusedLocally = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
};

} // namespace snipestall::platform
