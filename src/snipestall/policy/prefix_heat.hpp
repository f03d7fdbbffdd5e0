#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace snipestall::policy {

/// How often prompts began with which prefix of late; tells peers what is worth sending here.
class PrefixHeat
{
public:
    void touch(std::span<const std::uint64_t> prefix);
    /// Forgets half of what was counted; called about once a second.
    void decay();

    /// Low 32 bits of the hottest prefixes, sorted by value.
    [[nodiscard]] std::vector<std::uint32_t> hottest(std::size_t most) const;

    /// The part of a prompt that peers are told of.
    static std::uint32_t keyOf(std::span<const std::uint64_t> prefix);

private:
    std::map<std::uint32_t, double> m_counts;
};

} // namespace snipestall::policy
