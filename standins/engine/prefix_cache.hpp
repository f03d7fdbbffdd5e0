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

/// One insertion or eviction of a cached prefix.
struct CacheEvent
{
    std::uint64_t number = 0;
    SteadyTime time {};
    std::uint64_t prefix = 0;
    bool present = false;
};

/// LRU cache of prompt prefixes in blocks of 64 characters. Its events are published with a delay,
/// and some are never published.
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

    /// Number of tokens of the longest cached prefix of the prompt.
    [[nodiscard]] std::int64_t cachedTokens(std::string_view prompt) const;
    void insert(SteadyTime now, std::string_view prompt);
    /// The events with a greater number than `number` that are published at `now`.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(SteadyTime now, std::uint64_t number) const;

private:
    void touch(SteadyTime now, std::uint64_t prefix);
    void publish(SteadyTime now, std::uint64_t prefix, bool present);

    Options m_options;
    Random m_random;
    /// Prefixes by time of use, most recently used first.
    std::list<std::uint64_t> m_recent;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastNumber = 0;
};

} // namespace snipestall::standins
