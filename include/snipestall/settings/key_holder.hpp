#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// Name of the holder of a key, looked up by the SHA-256 of the key; empty if nobody holds it. The
/// time taken does not depend on whether or where the hash matches, so that response times can't be
/// used to guess a hash byte by byte.
///
///     auto name = holderOfKey(view->operatorByKeyHash, key);
std::optional<std::string>
holderOfKey(const std::map<std::string, std::string, std::less<>> &holderByHash,
            std::string_view key);

/// Whether a key has this SHA-256 (lower-case hex), compared in constant time. False for an empty
/// hash.
bool keyHasHash(std::string_view key, std::string_view hash);

} // namespace snipestall::settings
