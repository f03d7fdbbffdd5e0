#pragma once

#include <string>

namespace snipestall::settings {

struct Document;

/// YAML for people: sections in blocks, names in order.
std::string writeReadable(const Document &document);

} // namespace snipestall::settings
