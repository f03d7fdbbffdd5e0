#pragma once

#include "snipestall/base/clock.hpp"

#include <array>
#include <chrono>

namespace snipestall::serving {

/// How late a process comes to its events, measured with ticks that are due at even intervals.
///
/// Load: an instance with little processor time has more callers' and peers' messages than it can
/// handle. Harm: what it decides by, and the time from which it counts a bound, are as late as its
/// events. A tick waits in the same queue as they do, so its delay is theirs.
class LoopLag
{
public:
    static constexpr std::chrono::milliseconds Tick { 50 };
    /// Timers and short bursts stay below it on an instance that keeps up.
    static constexpr std::chrono::milliseconds LateAfter { 250 };

    explicit LoopLag(SteadyTime now);

    /// A tick that was due at `due` is handled at `now`.
    void ticked(SteadyTime due, SteadyTime now);
    /// Delay of the last tick.
    [[nodiscard]] std::chrono::milliseconds last() const { return m_last; }
    /// Greatest delay since the call before.
    std::chrono::milliseconds takeWorst();
    /// An event that is handled now has happened at this time or later.
    [[nodiscard]] SteadyTime earliestArrival() const { return m_handled.front(); }

private:
    std::chrono::milliseconds m_last { 0 };
    std::chrono::milliseconds m_worst { 0 };
    /// When the last ticks were handled, the oldest first. The loop may hand an event on twice,
    /// with a tick in between each time.
    std::array<SteadyTime, 3> m_handled;
};

} // namespace snipestall::serving
