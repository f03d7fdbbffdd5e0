#pragma once

#include "snipestall/base/clock.hpp"

namespace snipestall {

/// Clock that reads the machine's steady clock and wall clock.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime steadyNow() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

} // namespace snipestall
