#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// Whose key it is, by its SHA-256. Takes the same time whether and where it matches, so that
/// answers can't be timed to guess a hash byte by byte.
///
///     auto name = holderOfKey(view->operatorByKeyHash, key);
std::optional<std::string>
holderOfKey(const std::map<std::string, std::string, std::less<>> &holderByHash,
            std::string_view key);

/// Whether a key has this SHA-256, in constant time; false for an empty hash.
bool keyHasHash(std::string_view key, std::string_view hash);

} // namespace snipestall::settings
