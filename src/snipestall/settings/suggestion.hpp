#pragma once

#include <span>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// The name most similar to a mistyped one; empty if none is similar enough.
std::string nearestName(std::string_view text, std::span<const std::string> names);

} // namespace snipestall::settings
