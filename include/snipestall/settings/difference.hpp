#pragma once

#include <optional>
#include <string>

namespace snipestall::settings {

/// One path whose value differs between two trees. Keys appear only as their hashes, because the
/// tree holds nothing else of them.
struct Difference
{
    std::string path;
    /// Text of the value before and after; empty where the path does not exist.
    std::optional<std::string> before;
    std::optional<std::string> after;
};

} // namespace snipestall::settings
