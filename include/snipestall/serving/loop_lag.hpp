#pragma once

#include "snipestall/base/clock.hpp"

#include <array>
#include <chrono>

namespace snipestall::serving {

/// Measures how late a process handles its events, by ticks that are due at regular intervals.
///
/// Load: an instance with little processor time receives more messages of callers and peers than it
/// can handle. Harm: the information on which it bases decisions, and the start of each time limit,
/// are as late as its events. A tick waits in the same queue as these events, so it has the same
/// delay.
class LoopLag
{
public:
    static constexpr std::chrono::milliseconds Tick { 50 };
    /// The lag of timers and short bursts stays below this on an instance that keeps up.
    static constexpr std::chrono::milliseconds LateThreshold { 250 };

    explicit LoopLag(SteadyTime now);

    /// A tick that was due at `due` is handled at `now`.
    void ticked(SteadyTime due, SteadyTime now);
    /// Delay of the last tick.
    [[nodiscard]] std::chrono::milliseconds last() const { return m_last; }
    /// Returns the greatest delay since the previous call, and resets it.
    std::chrono::milliseconds takeWorst();
    /// An event that is handled now occurred at this time or later.
    [[nodiscard]] SteadyTime earliestArrival() const { return m_handled.front(); }

private:
    std::chrono::milliseconds m_last { 0 };
    std::chrono::milliseconds m_worst { 0 };
    /// When the last ticks were handled, the oldest first. The event loop may requeue an event
    /// twice, with a tick in between each time.
    std::array<SteadyTime, 3> m_handled;
};

} // namespace snipestall::serving
