#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"

#include <string>
#include <string_view>

namespace snipestall::admin {

/// "2026-12-02T20:37:00Z".
std::string formatTime(WallTime time);

/// Such a time, or how long before `now`: "30s", "15min", "2h", "7d". InvalidArgument otherwise.
Result<WallTime> parseTime(std::string_view text, WallTime now);

} // namespace snipestall::admin
