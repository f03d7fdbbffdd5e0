#pragma once

#include <string>
#include <string_view>

namespace snipestall::settings {

/// SHA-256 in lower-case hex, the form in which the settings store keys. Throws Exception if
/// OpenSSL does not provide SHA-256.
std::string sha256Hex(std::string_view bytes);

} // namespace snipestall::settings
