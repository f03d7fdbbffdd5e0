#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// Segments of a slash-separated path. Empty segments are kept, so that callers can detect "a//b".
std::vector<std::string> splitPath(std::string_view path);
/// Appends a segment to a path; an empty parent adds no slash.
std::string joinPath(std::string_view parent, std::string_view segment);
/// Whether the paths are equal or one contains the other.
bool pathsOverlap(std::string_view a, std::string_view b);

} // namespace snipestall::settings
