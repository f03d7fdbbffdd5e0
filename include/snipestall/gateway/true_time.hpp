#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <optional>

namespace snipestall::gateway {

/// The time of day that all instances agree on: the store's steady clock plus one offset that is
/// kept in the store.
///
/// Failure: the time of day of an instance jumps by seconds and back. It shows as usage counted in
/// the wrong window. The local time of day is therefore read only once, to set the offset when the
/// system starts for the first time.
class TrueTime
{
public:
    /// The store's clock as told in an answer that arrived at `now`.
    void storeAnswered(std::chrono::milliseconds storeTime, SteadyTime now);
    /// Time of day at the store's zero.
    void setOffset(std::chrono::milliseconds offset) { m_offset = offset; }
    [[nodiscard]] std::optional<std::chrono::milliseconds> offset() const { return m_offset; }
    [[nodiscard]] bool known() const { return m_offset && m_lead; }
    [[nodiscard]] bool storeClockKnown() const { return m_lead.has_value(); }
    /// Offset that this instance's time of day gives.
    [[nodiscard]] std::chrono::milliseconds localOffset(WallTime wall, SteadyTime now) const;
    /// Only while known.
    [[nodiscard]] WallTime at(SteadyTime now) const;

private:
    [[nodiscard]] std::chrono::milliseconds storeTimeAt(SteadyTime now) const;

    std::optional<std::chrono::milliseconds> m_offset;
    /// Store's clock minus the local steady clock.
    std::optional<std::chrono::milliseconds> m_lead;
};

} // namespace snipestall::gateway
