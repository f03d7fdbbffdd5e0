#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace snipestall::policy::harness {

/// A least-recently-used cache of prompt blocks, like that of a model engine.
class PrefixCache
{
public:
    struct Change
    {
        std::uint64_t block = 0;
        bool present = true;
    };

    explicit PrefixCache(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// Returns the number of leading blocks of the chain that are cached.
    std::size_t match(std::span<const std::uint64_t> chain);
    std::vector<Change> insert(std::span<const std::uint64_t> chain);

private:
    bool touch(std::uint64_t block);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_newestFirst;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

} // namespace snipestall::policy::harness
