#pragma once

#include <string>
#include <string_view>

namespace snipestall::entry {

/// SHA-256 in lower-case hex.
std::string bodyHash(std::string_view bytes);

} // namespace snipestall::entry
