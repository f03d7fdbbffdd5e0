#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::standins {

/// Text of one token of a stand-in engine's answer: `<8 hex digits of the prompt hash>:<index> `.
std::string tokenText(std::uint32_t promptHash, std::int64_t index);

/// The low 32 bits of stableHash().
std::uint32_t promptHash(std::string_view prompt);

/// Number of tokens of a prompt: its length in characters / 4, rounded up.
std::int64_t promptTokens(std::string_view prompt);

} // namespace snipestall::standins
