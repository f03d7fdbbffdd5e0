#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace snipestall::serving {

/// What may be repeated of a request.
enum class Repeatability {
    Idempotent,
    NonIdempotent,
    /// An event stream; it may be repeated only where its route says that it can be resumed.
    Stream,
};

/// One of the services that a route's requests are divided over.
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
    /// Longest pause between events for which a stream is still on time.
    std::chrono::milliseconds targetGap { 0 };
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<RouteTarget> targets;
    /// Backend servers that one attempt of a caller may be sent to.
    int attemptLimit = 1;
    /// Needs no key.
    bool anonymous = false;
    bool resumable = false;

    [[nodiscard]] bool isStream() const { return kind == Repeatability::Stream; }
    [[nodiscard]] bool mayRepeat() const
    {
        return kind == Repeatability::Idempotent || (isStream() && resumable);
    }
};

} // namespace snipestall::serving
