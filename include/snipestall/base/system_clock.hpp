#pragma once

#include "snipestall/base/clock.hpp"

namespace snipestall {

/// The machine's clocks.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime steadyNow() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

} // namespace snipestall
