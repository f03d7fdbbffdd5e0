#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace snipestall::policy {

/// How often recent prompts began with each prefix. Peers use the result to choose which requests
/// to forward here.
class PrefixHeat
{
public:
    void record(std::span<const std::uint64_t> prefix);
    /// Multiplies every count by 0.9; called about once a second.
    void decay();

    /// Low 32 bits of the most used prefixes, at most `maxResults` of them, sorted by value.
    [[nodiscard]] std::vector<std::uint32_t> hottest(std::size_t maxResults) const;

    /// The part of a prompt's prefix that is reported to peers.
    static std::uint32_t keyOf(std::span<const std::uint64_t> prefix);

private:
    std::map<std::uint32_t, double> m_counts;
};

} // namespace snipestall::policy
