#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <optional>

namespace snipestall::gateway {

/// The time of day that all instances share: the steady clock of the store plus one offset that is
/// kept in the store.
///
/// Failure it guards against: the time of day of an instance jumps by seconds and back, so that
/// usage is counted in the wrong window. The local time of day is therefore read only once, to set
/// the offset when the system starts for the first time.
class CommonTime
{
public:
    /// Records the clock of the store in an answer that arrived at `now`.
    void observeStoreClock(std::chrono::milliseconds storeTime, SteadyTime now);
    /// Sets the time of day at which the clock of the store was zero.
    void setOffset(std::chrono::milliseconds offset) { m_offset = offset; }
    [[nodiscard]] std::optional<std::chrono::milliseconds> offset() const { return m_offset; }
    [[nodiscard]] bool known() const { return m_offset && m_lead; }
    [[nodiscard]] bool storeClockKnown() const { return m_lead.has_value(); }
    /// Returns the offset that results from the local time of day.
    [[nodiscard]] std::chrono::milliseconds localOffset(WallTime wall, SteadyTime now) const;
    /// Returns the common time of day at `now`. May be called only while it is known.
    [[nodiscard]] WallTime at(SteadyTime now) const;

    /// Returns the clock of the store at `now`. May be called only while it is known.
    [[nodiscard]] std::chrono::milliseconds storeTimeAt(SteadyTime now) const;

private:
    std::optional<std::chrono::milliseconds> m_offset;
    /// Clock of the store minus the local steady clock.
    std::optional<std::chrono::milliseconds> m_lead;
};

} // namespace snipestall::gateway
