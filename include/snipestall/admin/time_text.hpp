#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"

#include <string>
#include <string_view>

namespace snipestall::admin {

/// Formats a time in UTC with a resolution of one second, such as "2026-12-02T20:37:00Z".
std::string formatTime(WallTime time);

/// Parses a time in the format of formatTime(), or an age relative to `now`, such as "30s",
/// "15min", "2h" or "7d". Fails with InvalidArgument for any other text.
Result<WallTime> parseTime(std::string_view text, WallTime now);

} // namespace snipestall::admin
