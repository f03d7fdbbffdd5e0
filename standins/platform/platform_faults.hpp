#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace snipestall::standins {

enum class PartState {
    Up,
    Down,
    Slow,
};

/// What the test has ordered to go wrong, by part of the platform.
struct PlatformFaults
{
    PartState table = PartState::Up;
    PartState objects = PartState::Up;
    PartState instances = PartState::Up;
    PartState cloud = PartState::Up;
    std::chrono::milliseconds slow { 0 };
    std::chrono::milliseconds listLag { 0 };
    /// Transactions still to be carried out and then cut without an answer.
    std::int64_t loseAnswers = 0;
    bool refuseStarts = false;

    /// Changes what the body names and leaves the rest; throws std::invalid_argument.
    void change(const boost::json::object &body);
    /// State of the part that a path belongs to; calls of the test itself are always up.
    [[nodiscard]] PartState of(std::string_view path) const;
};

} // namespace snipestall::standins
