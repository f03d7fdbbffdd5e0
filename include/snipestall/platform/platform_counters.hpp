#pragma once

#include <cstdint>

namespace snipestall::platform {

/// Counters of this process's calls to the platform, for metrics and for the write budget.
struct PlatformCounters
{
    std::uint64_t calls = 0;
    std::uint64_t transactions = 0;
    std::uint64_t reads = 0;
    std::uint64_t scans = 0;
    /// Rows written or deleted by the transactions.
    std::uint64_t rowWrites = 0;
    /// Calls without an answer, or with a status from 500.
    std::uint64_t failures = 0;
    /// Calls that a circuit breaker refused without sending a request.
    std::uint64_t refusedLocally = 0;
    /// Bytes of the bodies of requests and answers.
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
};

} // namespace snipestall::platform
