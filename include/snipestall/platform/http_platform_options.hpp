#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace snipestall::platform {

/// When calls stop being tried against a service that does not answer, and how they start again.
struct CircuitOptions
{
    /// Failures in a row that open the circuit: one lost connection is ordinary, three are not.
    std::size_t failuresToOpen = 3;
    /// First and longest pause between probes. The longest bounds how late a recovery is noticed,
    /// and with 320 instances keeps the probes of an outage under 100 a second.
    std::chrono::milliseconds firstPause { 200 };
    std::chrono::milliseconds longestPause { 5000 };
    /// Calls in flight at which a recovering circuit counts as closed; the allowance doubles
    /// from 1.
    std::size_t fullAllowance = 64;
};

struct HttpPlatformOptions
{
    std::chrono::milliseconds connectTimeout { 500 };
    /// A table that is silent for longer counts as down: claims wait for it within a latency
    /// target.
    std::chrono::milliseconds idleTimeout { 2000 };
    CircuitOptions circuit;
    /// Seed of the jitter between probes; differs from instance to instance.
    std::uint64_t seed = 1;
};

} // namespace snipestall::platform
