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

/// Faults that a test has requested, by part of the platform.
struct PlatformFaults
{
    PartState table = PartState::Up;
    PartState objects = PartState::Up;
    PartState instances = PartState::Up;
    PartState cloud = PartState::Up;
    std::chrono::milliseconds slow { 0 };
    std::chrono::milliseconds listLag { 0 };
    /// Number of next transactions that are executed but whose connection is cut without an answer.
    std::int64_t loseAnswers = 0;
    bool refuseStarts = false;

    /// Changes the faults that the body names and keeps the others. Throws std::invalid_argument
    /// for an invalid field.
    void change(const boost::json::object &body);
    /// State of the part that serves a path. Control calls of the test are always up.
    [[nodiscard]] PartState stateOf(std::string_view path) const;
};

} // namespace snipestall::standins
