#pragma once

#include "snipestall/base/result.hpp"

#include <string>
#include <string_view>

namespace snipestall::settings {

/// Describes a path from the schema: meaning, range, unit, default and the levels at which it may
/// be set. Takes a concrete path, a pattern with `*`, a section or a key alone. NotFound for any
/// other path; the message suggests the most similar known one.
///
///     std::cout << explainPath("customers/kiyi/weight").value();
Result<std::string> explainPath(std::string_view path);

/// The content of docs/settings.md, in Markdown.
std::string referencePage();

} // namespace snipestall::settings
