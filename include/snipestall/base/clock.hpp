#pragma once

#include <chrono>

namespace snipestall {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time that tests can replace. Leases and timeouts use `steadyNow`, audit rows use
/// `wallNow`.
class Clock
{
public:
    virtual ~Clock() = default;

    [[nodiscard]] virtual SteadyTime steadyNow() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

} // namespace snipestall
