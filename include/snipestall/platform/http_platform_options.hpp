#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace snipestall::platform {

/// When a circuit breaker stops calls to a service that does not answer, and how it resumes them.
struct CircuitOptions
{
    /// Consecutive failures that open the circuit. One lost connection is normal, three in a row
    /// indicate an outage.
    std::size_t failuresToOpen = 3;
    /// Initial and maximum pause between probes. The maximum limits the delay until a recovery is
    /// detected, and keeps the probes of 320 instances during an outage under 100 per second.
    std::chrono::milliseconds firstPause { 200 };
    std::chrono::milliseconds longestPause { 5000 };
    /// Limit of calls in flight at which a recovering circuit becomes closed; the limit starts at 1
    /// and doubles.
    std::size_t inFlightLimitToClose = 64;
};

/// Timeouts and circuit breakers of an HttpPlatform.
struct HttpPlatformOptions
{
    std::chrono::milliseconds connectTimeout { 500 };
    /// Time without data after which a call fails and counts as an outage. It is short because
    /// claims wait for the table within a request's latency target.
    std::chrono::milliseconds idleTimeout { 2000 };
    CircuitOptions circuit;
    /// Seed of the jitter between probes; must differ between instances, so that their probes are
    /// spread.
    std::uint64_t seed = 1;
};

} // namespace snipestall::platform
