#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::standins {

/// Text of one token of a stand-in engine's answer: `<8 hex digits of the prompt's hash>:<i> `.
/// The hash is the low 32 bits of stableHash().
std::string tokenText(std::uint32_t promptHash, std::int64_t index);

std::uint32_t promptHash(std::string_view prompt);

/// Length in characters / 4, rounded up.
std::int64_t promptTokens(std::string_view prompt);

} // namespace snipestall::standins
