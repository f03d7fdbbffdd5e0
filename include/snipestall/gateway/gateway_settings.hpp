#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::gateway {

/// Figures that the operators promise for the whole deployment.
struct Bounds
{
    /// A backend server gets nothing new this long after its leaving was listed.
    std::chrono::milliseconds drain { 2000 };
    /// From a stop signal until the process is ended.
    std::chrono::milliseconds grace { 8000 };
    /// How long an instance must have been undisturbed for its promises to count.
    std::chrono::milliseconds contact { 3000 };
    /// Repeats that a service may get: a part of its first attempts and a fixed number besides.
    double retryRatio = 0.2;
    std::chrono::milliseconds retryWindow { 10000 };
    double retrySlack = 0;
    /// How far a quota may be exceeded in any window: a part of it, and a number of units.
    std::chrono::milliseconds quotaWindow { 0 };
    double quotaOverrun = 0;
    double quotaTolerance = 0;
    std::chrono::milliseconds lease { 3000 };
    std::chrono::milliseconds usageWindow { 5000 };
};

/// Settings of one gateway process.
struct GatewaySettings
{
    std::string instance;
    std::string dataCentre;
    /// True only when the whole system starts for the first time.
    bool firstStart = false;
    /// IP number of this instance.
    std::string address;
    wire::Endpoint callers;
    wire::Endpoint readiness;
    std::uint16_t peerPort = 0;
    std::uint16_t metricsPort = 0;
    wire::Endpoint store;
    wire::Endpoint duties;
    /// How often backend servers renew their entries.
    std::chrono::milliseconds serverHeartbeat { 1200 };
    std::size_t fileDescriptors = 1024;
    /// Processor time of this instance, in thousandths of a core; 0 if it is not known. Instances
    /// with more of it do more for the fleet.
    std::uint32_t milliCores = 0;
    /// For how long callers that reach a process before it has read the store are kept instead of
    /// being sent away for longer. The store is read within some 20 ms of the start; a caller with
    /// little time left gives a connection up later than this.
    std::chrono::milliseconds startWait { 150 };
    Bounds bounds;

    /// Reads the YAML text. InvalidArgument lists every field that is missing or faulty.
    static Result<GatewaySettings> parse(std::string_view yaml);
};

} // namespace snipestall::gateway
