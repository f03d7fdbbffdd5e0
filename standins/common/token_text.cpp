#include "common/token_text.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <cstdio>

namespace snipestall::standins {

namespace {

constexpr std::size_t CharactersPerToken = 4;

} // namespace

std::string tokenText(std::uint32_t promptHash, std::int64_t index)
{
    char hex[9];
    std::snprintf(hex, sizeof(hex), "%08x", promptHash);
    return std::string(hex) + ":" + std::to_string(index) + " ";
}

std::uint32_t promptHash(std::string_view prompt)
{
    return static_cast<std::uint32_t>(stableHash(prompt));
}

std::int64_t promptTokens(std::string_view prompt)
{
    const std::size_t tokens = (prompt.size() + CharactersPerToken - 1) / CharactersPerToken;
    return static_cast<std::int64_t>(tokens);
}

} // namespace snipestall::standins
