#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snipestall::settings {

struct Document;

/// Writes the form in which a document is stored, hashed and sent between instances. It is both
/// JSON and YAML, each value is a quoted string or a list of quoted strings, and names are in byte
/// order. The same content gives the same bytes.
std::string writeCanonical(const Document &document);

/// Reads the output of writeCanonical, about forty times as fast as the YAML reader. Empty for any
/// other text.
std::optional<Document> readCanonical(std::string_view text);

} // namespace snipestall::settings
