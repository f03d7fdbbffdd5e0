#include "engine/prefix_cache.hpp"

#include "snipestall/base/rendezvous.hpp"

namespace snipestall::standins {

namespace {

constexpr std::size_t BlockCharacters = 64;
constexpr std::int64_t BlockTokens = 16;
constexpr std::size_t MaxKeptEvents = 20000;

std::uint64_t prefixHash(std::string_view prompt, std::size_t blocks)
{
    return stableHash(prompt.substr(0, blocks * BlockCharacters));
}

} // namespace

PrefixCache::PrefixCache(const Options &options)
    : m_options(options)
    , m_random(options.seed)
{ }

std::int64_t PrefixCache::cachedTokens(std::string_view prompt) const
{
    std::size_t blocks = 0;
    while ((blocks + 1) * BlockCharacters <= prompt.size()
           && m_blocks.contains(prefixHash(prompt, blocks + 1)))
        ++blocks;
    return static_cast<std::int64_t>(blocks) * BlockTokens;
}

void PrefixCache::insert(SteadyTime now, std::string_view prompt)
{
    const std::size_t blocks = prompt.size() / BlockCharacters;
    for (std::size_t block = 1; block <= blocks; ++block)
        touch(now, prefixHash(prompt, block));
}

void PrefixCache::touch(SteadyTime now, std::uint64_t prefix)
{
    const auto known = m_blocks.find(prefix);
    if (known != m_blocks.end()) {
        m_recent.splice(m_recent.begin(), m_recent, known->second);
        return;
    }
    if (m_options.capacity == 0)
        return;
    if (m_blocks.size() == m_options.capacity) {
        publish(now, m_recent.back(), false);
        m_blocks.erase(m_recent.back());
        m_recent.pop_back();
    }
    m_recent.push_front(prefix);
    m_blocks[prefix] = m_recent.begin();
    publish(now, prefix, true);
}

void PrefixCache::publish(SteadyTime now, std::uint64_t prefix, bool present)
{
    ++m_lastNumber;
    if (m_random.uniform() < m_options.eventGap)
        return;
    m_events.push_back({ m_lastNumber, now, prefix, present });
    if (m_events.size() > MaxKeptEvents)
        m_events.pop_front();
}

std::vector<CacheEvent> PrefixCache::eventsAfter(SteadyTime now, std::uint64_t number) const
{
    std::vector<CacheEvent> events;
    for (const auto &event : m_events) {
        if (event.number > number && event.time <= now - m_options.eventLag)
            events.push_back(event);
    }
    return events;
}

} // namespace snipestall::standins
