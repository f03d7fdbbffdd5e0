#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <unordered_set>

namespace snipestall {

/// Hashes seen within the last minutes, in bounded memory.
class RecentHashes
{
public:
    void add(std::uint64_t hash, SteadyTime now);
    [[nodiscard]] bool contains(std::uint64_t hash) const;

private:
    /// At most twice as long is remembered: callers repeat a request within minutes.
    static constexpr std::chrono::seconds Generation { 120 };
    /// Of each generation: some 200 KB, and at 100 requests a second 40 s of them.
    static constexpr std::size_t MostOfGeneration = 4096;

    std::unordered_set<std::uint64_t> m_newer;
    std::unordered_set<std::uint64_t> m_older;
    SteadyTime m_begun;
};

} // namespace snipestall
