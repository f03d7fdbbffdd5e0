#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// Which backend servers this instance has lately had read a shared prompt part. An estimate: an
/// engine may have dropped the part since, which costs the reading of it and nothing else.
class PromptCacheMap
{
public:
    void used(std::uint64_t part, const std::string &server, SteadyTime now);
    [[nodiscard]] bool holds(std::uint64_t part, const std::string &server, SteadyTime now) const;
    void forgetServer(const std::string &server);

private:
    /// Parts remembered; some 100 bytes each.
    static constexpr std::size_t MostParts = 8192;
    /// A part unused for longer has likely been replaced in the engine's cache.
    static constexpr std::chrono::seconds LongestAge { 30 };

    struct Holders
    {
        std::unordered_map<std::string, SteadyTime> lastUse;
        std::list<std::uint64_t>::iterator position;
    };

    std::unordered_map<std::uint64_t, Holders> m_parts;
    /// Least recently used first.
    std::list<std::uint64_t> m_order;
};

} // namespace snipestall::serving
