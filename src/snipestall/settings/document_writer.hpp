#pragma once

#include <string>

namespace snipestall::settings {

struct Document;

/// Writes YAML for people: block style, names in byte order.
std::string writeReadable(const Document &document);

} // namespace snipestall::settings
