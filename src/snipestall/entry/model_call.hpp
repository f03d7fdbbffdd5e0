#pragma once

#include "snipestall/base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace snipestall::entry {

/// The fields of the body of POST /v1/chat/completions or /v1/completions that snipestall uses.
struct ModelCall
{
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
    bool chat = false;

    /// Returns InvalidArgument if a field is invalid; the message names the field and the valid
    /// values.
    static Result<ModelCall> parse(std::string_view body, bool chat);
    /// Estimated number of tokens of the prompt.
    [[nodiscard]] std::uint32_t promptTokens() const;
};

} // namespace snipestall::entry
