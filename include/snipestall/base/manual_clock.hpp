#pragma once

#include "snipestall/base/clock.hpp"

namespace snipestall {

/// Clock for tests that changes only through advance(), which moves both times.
///
///     ManualClock clock;
///     clock.advance(std::chrono::seconds(3));
class ManualClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime steadyNow() const override { return m_steady; }
    [[nodiscard]] WallTime wallNow() const override { return m_wall; }

    void advance(std::chrono::nanoseconds by);

private:
    SteadyTime m_steady {};
    WallTime m_wall {};
};

} // namespace snipestall
