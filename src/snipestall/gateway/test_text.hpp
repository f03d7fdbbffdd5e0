#pragma once

#include "snipestall/base/random.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace snipestall::gateway {

/// Text of random letters, which compression makes smaller by less than half.
inline std::string randomText(Random &random, std::size_t length)
{
    constexpr std::uint64_t Letters = 26;
    std::string text;
    for (std::size_t i = 0; i < length; ++i)
        text += static_cast<char>('a' + random.below(Letters));
    return text;
}

/// A value of a row that is too large for a report, whatever it is compressed to.
inline std::string largeText(std::uint64_t seed)
{
    constexpr std::size_t Bytes = 300000;
    Random random(seed);
    return randomText(random, Bytes);
}

} // namespace snipestall::gateway
