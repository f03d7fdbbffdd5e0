#pragma once

#include <optional>
#include <string>

namespace snipestall::settings {

/// One change of one path. Without a value, the edit removes the override, so that the value of the
/// level above is in force again.
struct Edit
{
    std::string path;
    /// YAML text of the new value.
    std::optional<std::string> value;
};

} // namespace snipestall::settings
