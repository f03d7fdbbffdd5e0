#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace snipestall::serving {

/// Remembers for some minutes when a request with a part was last answered in full, with bounded
/// memory. It consists of two generations; the older one is discarded as a whole.
class AnsweredParts
{
public:
    void add(std::uint64_t key, SteadyTime now);
    [[nodiscard]] std::optional<SteadyTime> last(std::uint64_t key) const;

private:
    using Times = std::unordered_map<std::uint64_t, SteadyTime>;

    static constexpr std::chrono::seconds GenerationLength { 120 };
    static constexpr std::size_t MaxPerGeneration = 4096;

    Times m_newer;
    Times m_older;
    SteadyTime m_newerSince;
};

} // namespace snipestall::serving
