#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// Segments of a slash-separated path; empty ones are kept, so that "a//b" stays recognisable.
std::vector<std::string> splitPath(std::string_view path);
std::string joinPath(std::string_view parent, std::string_view segment);
/// Whether one path equals the other or contains it.
bool pathsTouch(std::string_view a, std::string_view b);

} // namespace snipestall::settings
