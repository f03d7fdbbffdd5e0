#pragma once

#include "snipestall/base/clock.hpp"

namespace snipestall::gateway {

/// Clock whose steady time also advances while the instance is suspended. Leases and the ages of
/// reports of peers must include that time; std::chrono::steady_clock does not.
class BootClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime steadyNow() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

} // namespace snipestall::gateway
