#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Whether a request may be repeated after a failure.
enum class Repeatability {
    Idempotent,
    NonIdempotent,
    /// An event stream; it may be repeated only if its route declares it resumable.
    Stream,
};

/// One of the services among which the requests of a route are divided.
struct RouteTarget
{
    std::string service;
    double weight = 1;
};

/// How requests for one host and path prefix are served.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Repeatability kind = Repeatability::NonIdempotent;
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds targetLatency { 0 };
    /// Longest pause between two events with which a stream is still on time.
    std::chrono::milliseconds targetGap { 0 };
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<RouteTarget> targets;
    /// Maximum number of backend servers to which one attempt of a caller may be sent.
    int attemptLimit = 1;
    /// Whether requests need no key.
    bool anonymous = false;
    /// Whether a stream can be resumed on another server.
    bool resumable = false;

    [[nodiscard]] bool isStream() const { return kind == Repeatability::Stream; }
    [[nodiscard]] bool mayRepeat() const
    {
        return kind == Repeatability::Idempotent || (isStream() && resumable);
    }
};

} // namespace snipestall::serving
