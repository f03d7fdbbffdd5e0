#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::gateway {

/// Limits that the operators guarantee for the whole deployment.
struct Bounds
{
    /// Time after the leaving of a backend server is listed, after which it gets no new requests.
    std::chrono::milliseconds drain { 2000 };
    /// Time from the stop signal to the end of the process.
    std::chrono::milliseconds grace { 8000 };
    /// Time for which an instance must have been undisturbed before its guarantees apply.
    std::chrono::milliseconds contact { 3000 };
    /// Repeats that a service may get within `retryWindow`: a share (`retryRatio`) of its first
    /// attempts, plus a fixed number (`retrySlack`).
    double retryRatio = 0.2;
    std::chrono::milliseconds retryWindow { 10000 };
    double retrySlack = 0;
    /// How far a quota may be exceeded in any `quotaWindow`: a share of it (`quotaOverrun`), plus a
    /// number of units (`quotaTolerance`).
    std::chrono::milliseconds quotaWindow { 0 };
    double quotaOverrun = 0;
    double quotaTolerance = 0;
    /// Requests that a bad version of a service may get during a rollout: a share of all
    /// (`exposureShare`), plus a number (`exposureTolerance`). Without a share, versions of servers
    /// make no difference.
    double exposureShare = 0;
    double exposureTolerance = 0;
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
    /// IP address of this instance.
    std::string address;
    wire::Endpoint callers;
    wire::Endpoint readiness;
    std::uint16_t peerPort = 0;
    /// Port for requests that other instances forward, which only instances must be able to reach;
    /// 0 if this instance takes none.
    std::uint16_t forwardPort = 0;
    std::uint16_t metricsPort = 0;
    wire::Endpoint store;
    wire::Endpoint duties;
    /// Interval at which backend servers renew their entries in the store.
    std::chrono::milliseconds serverHeartbeat { 1200 };
    std::size_t fileDescriptors = 1024;
    /// Memory of this instance in megabytes; 0 for what the kernel reports.
    std::size_t memoryMegabytes = 0;
    /// Longest time that the body of a request may take to arrive, if its caller waits so long.
    std::chrono::milliseconds bodyTime { 120000 };
    /// Processor time of this instance in thousandths of a core; 0 if it is not known. Instances
    /// with more processor time do more work for the fleet.
    std::uint32_t milliCores = 0;
    /// Longest time for which a request that arrives before the process has read the store waits,
    /// instead of being refused with a longer retry time. The store is read within about 20 ms of
    /// the start. A caller with little time left waits longer than this before it gives up a
    /// connection.
    std::chrono::milliseconds startWait { 150 };
    /// Whether requests that would be late at every server are refused at once.
    bool refuseLate = true;
    Bounds bounds;

    /// Number of bytes that callers' connections may hold together.
    [[nodiscard]] std::size_t connectionBytes() const;

    /// Reads the YAML text. The error InvalidArgument lists every field that is missing or invalid.
    static Result<GatewaySettings> parse(std::string_view yaml);
};

} // namespace snipestall::gateway
