#pragma once

#include "snipestall/base/result.hpp"

#include <string>
#include <string_view>

namespace snipestall::settings {

/// What a path means, from the schema: type, unit, range, default, the levels at which it may
/// stand. Takes a real path, a pattern with `*`, a section or a key alone. NotFound names the
/// nearest path.
///
///     std::cout << explainPath("customers/kiyi/weight").value();
Result<std::string> explainPath(std::string_view path);

/// The whole of docs/settings.md, in Markdown.
std::string referencePage();

} // namespace snipestall::settings
