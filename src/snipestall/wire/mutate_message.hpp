#pragma once

#include "snipestall/base/random.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace snipestall::wire {

/// For tests with random messages: changes, removes, repeats or inserts a few bytes of a message.
inline std::string mutateMessage(std::string text, Random &random)
{
    static constexpr std::string_view Special = "\r\n;:=\"\\0 \t,fF\x80\x01";
    const std::uint64_t changes = 1 + random.below(6);
    for (std::uint64_t i = 0; i < changes; ++i) {
        const std::size_t at = random.below(text.size());
        const std::size_t size = std::min<std::size_t>(1 + random.below(20), text.size() - at);
        switch (random.below(4)) {
        case 0:
            text[at] = Special[random.below(Special.size())];
            break;
        case 1:
            if (size + 1 < text.size())
                text.erase(at, size);
            break;
        case 2: {
            const std::string piece = text.substr(at, size);
            const std::uint64_t times = random.below(3) == 0 ? 10000 : 3;
            std::string repeated;
            for (std::uint64_t j = 0; j < times; ++j)
                repeated += piece;
            text.insert(at, repeated);
            break;
        }
        default:
            text.insert(at, size, Special[random.below(Special.size())]);
        }
    }
    return text;
}

} // namespace snipestall::wire
