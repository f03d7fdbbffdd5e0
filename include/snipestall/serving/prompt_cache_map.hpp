#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// The backend servers to which this instance has recently sent each shared prompt part. This is an
/// estimate: an engine may have evicted the part since, which costs only the time to read it again.
class PromptCacheMap
{
public:
    /// A request with this part was sent to `server`.
    void recordUse(std::uint64_t part, const std::string &server, SteadyTime now);
    /// Whether `server` probably has the part cached.
    [[nodiscard]] bool holds(std::uint64_t part, const std::string &server, SteadyTime now) const;
    void forgetServer(const std::string &server);

private:
    /// Maximum number of parts; each takes some 100 bytes.
    static constexpr std::size_t MaxParts = 8192;
    /// A part that has not been used for longer has probably been evicted from the engine's cache.
    static constexpr std::chrono::seconds MaxAge { 30 };

    struct PartUse
    {
        std::unordered_map<std::string, SteadyTime> lastUse;
        std::list<std::uint64_t>::iterator orderPosition;
    };

    std::unordered_map<std::uint64_t, PartUse> m_parts;
    /// Least recently used part first.
    std::list<std::uint64_t> m_order;
};

} // namespace snipestall::serving
