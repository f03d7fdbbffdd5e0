#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall {

/// Stable 64-bit hash of bytes (FNV-1a with a final mix); the same on every instance.
std::uint64_t stableHash(std::string_view bytes);

/// Highest-random-weight choice (Thaler and Ravishankar, 1998): removing a node moves only the
/// keys that it held.
std::optional<std::string> rendezvousPick(std::string_view key, std::span<const std::string> nodes);

/// All nodes, best first.
std::vector<std::string> rendezvousOrder(std::string_view key, std::span<const std::string> nodes);

} // namespace snipestall
