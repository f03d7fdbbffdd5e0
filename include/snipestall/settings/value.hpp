#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace snipestall::settings {

/// One validated value of the tree.
using Value = std::variant<bool, std::uint32_t, double, std::chrono::milliseconds, std::string,
                           std::vector<std::string>>;

/// Canonical text: the same value gives the same bytes. Durations are written with their unit,
/// lists as "[a, b]".
std::string toText(const Value &value);

} // namespace snipestall::settings
