#pragma once

#include <string>

namespace snipestall::settings {

struct Document;

/// Canonical YAML: sections and names in order of their bytes, values in their canonical text.
std::string writeDocument(const Document &document);

} // namespace snipestall::settings
