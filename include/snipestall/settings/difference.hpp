#pragma once

#include <optional>
#include <string>

namespace snipestall::settings {

/// One path that differs between two trees. Secrets come as their hashes.
struct Difference
{
    std::string path;
    std::optional<std::string> before;
    std::optional<std::string> after;
};

} // namespace snipestall::settings
