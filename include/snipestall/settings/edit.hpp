#pragma once

#include <optional>
#include <string>

namespace snipestall::settings {

/// One change of one path; no value takes the override away, so that the level above shows again.
struct Edit
{
    std::string path;
    /// YAML text of the new value.
    std::optional<std::string> value;
};

} // namespace snipestall::settings
