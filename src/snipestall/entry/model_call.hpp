#pragma once

#include "snipestall/base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::entry {

/// Body of POST /v1/chat/completions or /v1/completions, as far as this project uses it.
struct ModelCall
{
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
    bool chat = false;

    /// InvalidArgument with the field and what is allowed.
    static Result<ModelCall> parse(std::string_view body, bool chat);
    [[nodiscard]] std::uint32_t promptTokens() const;
};

} // namespace snipestall::entry
