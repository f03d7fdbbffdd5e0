#pragma once

#include <string>
#include <string_view>

namespace snipestall::settings {

/// SHA-256 in lower-case hex, the form in which keys stand in the settings.
std::string sha256Hex(std::string_view bytes);

} // namespace snipestall::settings
