#pragma once

#include <chrono>
#include <string>

namespace snipestall::soak {

/// Start of the ids of servers of a version that was ordered.
constexpr auto NewServerPrefix = "new-";

/// An order of the operators for another software version of a service.
struct VersionOrder
{
    std::string service;
    /// The new version fails a part of its requests.
    bool isBad = false;
    std::chrono::milliseconds duration { 8000 };
    /// When the store had the order.
    bool accepted = false;
    std::chrono::steady_clock::time_point orderedAt;
    /// Last state that the gateways wrote, and when its end was read.
    std::string state;
    std::chrono::steady_clock::time_point endedAt;

    [[nodiscard]] bool ended() const { return state == "completed" || state == "rolled_back"; }
    [[nodiscard]] std::chrono::steady_clock::time_point deadline() const
    {
        return orderedAt + duration;
    }
};

} // namespace snipestall::soak
