#pragma once

#include "snipestall/wire/http_request.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipestall::admin {

/// The key of "Authorization: Bearer KEY"; nothing if there is none.
std::optional<std::string> bearerKey(const wire::HttpRequest &request);

/// Whose key it is, by its SHA-256. Takes the same time whether and where it matches, so that
/// answers can't be timed to guess a hash byte by byte.
std::optional<std::string>
holderOfKey(const std::map<std::string, std::string, std::less<>> &holderByHash,
            std::string_view key);

/// Whether a key has this SHA-256, in constant time; false for an empty hash.
bool keyHasHash(std::string_view key, std::string_view hash);

} // namespace snipestall::admin
