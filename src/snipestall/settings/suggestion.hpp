#pragma once

#include <span>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// The name that was probably meant; empty if none is near.
std::string nearest(std::string_view text, std::span<const std::string> names);

} // namespace snipestall::settings
