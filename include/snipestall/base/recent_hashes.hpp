#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <unordered_set>

namespace snipestall {

/// Set of the hashes added within the last minutes, with bounded memory.
///
/// It consists of two generations; the older one is discarded as a whole.
class RecentHashes
{
public:
    void add(std::uint64_t hash, SteadyTime now);
    [[nodiscard]] bool contains(std::uint64_t hash) const;

private:
    /// A hash is kept for at most twice this time. Callers repeat a request within minutes.
    static constexpr std::chrono::seconds GenerationLength { 120 };
    /// Takes about 200 KB per generation; 100 requests per second fill a generation in 40 s.
    static constexpr std::size_t MaxHashesPerGeneration = 4096;

    std::unordered_set<std::uint64_t> m_newer;
    std::unordered_set<std::uint64_t> m_older;
    SteadyTime m_newerSince;
};

} // namespace snipestall
