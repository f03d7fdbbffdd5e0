#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::serving {

/// A run of prompt tokens that an engine caches as a unit. Requests may have the leading parts in
/// common.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What is known of a text generation before it runs.
struct Prompt
{
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// In the order of the prompt; the last part belongs to the request itself or to its session.
    std::vector<PromptPart> parts;
};

} // namespace snipestall::serving
