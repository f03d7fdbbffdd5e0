#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall {

/// Returns a 64-bit hash of bytes (FNV-1a with a final mix) that is the same on every instance.
std::uint64_t stableHash(std::string_view bytes);
/// The hash of `bytes` with `more` behind them.
std::uint64_t stableHash(std::string_view bytes, std::string_view more);

/// Weight of a node for a key: the node with the greatest one is chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Chooses a node for a key by rendezvous hashing (Thaler and Ravishankar, 1998): removing a node
/// moves only the keys that it held. Returns nothing if there are no nodes.
std::optional<std::string> rendezvousPick(std::string_view key, std::span<const std::string> nodes);

/// Returns all nodes in the order of their weight for the key; rendezvousPick() chooses the first.
std::vector<std::string> rendezvousOrder(std::string_view key, std::span<const std::string> nodes);

} // namespace snipestall
