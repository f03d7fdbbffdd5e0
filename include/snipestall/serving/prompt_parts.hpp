#pragma once

#include "snipestall/serving/prompt.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Identifies a part of prompts.
///
/// The service and the model belong to it: another model may read the same part without harm, and
/// two services may use the same id for different parts. The customer does not, because a part that
/// crashes the servers of one customer's requests crashes them for another one's, too.
struct PartName
{
    std::string service;
    std::string model;
    std::uint64_t id = 0;

    [[nodiscard]] std::uint64_t key() const;
    friend auto operator<=>(const PartName &, const PartName &) = default;
};

/// The parts of a request's prompt that other requests may have as well: all but the last one.
struct PromptParts
{
    /// Longer prompts are compared by their first parts only, which bounds the work and the memory
    /// that one request takes.
    static constexpr std::size_t MaxParts = 64;

    std::string service;
    std::string model;
    std::vector<std::uint64_t> ids;

    [[nodiscard]] static PromptParts of(const std::string &service, const Prompt &prompt);
    [[nodiscard]] std::vector<std::uint64_t> keys() const;
};

} // namespace snipestall::serving
