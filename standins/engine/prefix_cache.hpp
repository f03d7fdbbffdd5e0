#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestall::standins {

/// One published change of the cache.
struct CacheEvent
{
    std::uint64_t number = 0;
    SteadyTime time {};
    std::uint64_t prefix = 0;
    bool present = false;
};

/// Cached prompt prefixes by blocks of 64 characters, least recently used out first. Its events
/// are published late, and some never.
class PrefixCache
{
public:
    struct Options
    {
        std::size_t capacity = 0;
        std::chrono::milliseconds eventLag { 0 };
        double eventGap = 0;
        std::uint64_t seed = 0;
    };

    explicit PrefixCache(const Options &options);

    /// Tokens of the longest cached prefix.
    [[nodiscard]] std::int64_t cachedTokens(std::string_view prompt) const;
    void insert(SteadyTime now, std::string_view prompt);
    /// Events after a number, as far as they are published by now.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(SteadyTime now, std::uint64_t number) const;

private:
    void touch(SteadyTime now, std::uint64_t prefix);
    void publish(SteadyTime now, std::uint64_t prefix, bool present);

    Options m_options;
    Random m_random;
    std::list<std::uint64_t> m_recent;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastNumber = 0;
};

} // namespace snipestall::standins
