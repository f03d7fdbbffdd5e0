#include "snipestall/policy/crash_table.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// Longer than callers repeat a failed request; after that time the model or its engine may have
/// been fixed.
constexpr Duration EntryLifetime = std::chrono::minutes(10);

/// Bounds the entries after a wave in which hundreds of servers die at once and make suspects of
/// all requests there.
constexpr std::size_t MaxEntries = 4096;

} // namespace

CrashTable::Entry &CrashTable::findOrAdd(Time now, std::uint64_t fingerprint)
{
    const auto [it, added] = m_entries.try_emplace(fingerprint);
    if (!added && it->second.expires <= now)
        it->second = {};
    it->second.expires = now + EntryLifetime;
    if (!added)
        return it->second;
    m_order.push_back(fingerprint);
    if (m_order.size() > MaxEntries) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
    return it->second;
}

std::uint32_t CrashTable::recordCrash(Time now, std::uint64_t fingerprint)
{
    return fingerprint == 0 ? 0 : ++findOrAdd(now, fingerprint).crashes;
}

void CrashTable::clear(std::uint64_t fingerprint)
{
    const auto it = m_entries.find(fingerprint);
    if (it != m_entries.end())
        it->second.crashes = 0;
}

void CrashTable::quarantine(Time now, std::uint64_t fingerprint)
{
    if (fingerprint != 0 && crashes(now, fingerprint) < QuarantineThreshold)
        findOrAdd(now, fingerprint).crashes = QuarantineThreshold;
}

std::uint32_t CrashTable::crashes(Time now, std::uint64_t fingerprint) const
{
    const auto it = m_entries.find(fingerprint);
    const bool live = it != m_entries.end() && it->second.expires > now;
    return live ? it->second.crashes : 0;
}

std::vector<std::uint64_t> CrashTable::quarantined(Time now, std::size_t maxResults) const
{
    std::vector<std::uint64_t> found;
    for (auto it = m_order.rbegin(); it != m_order.rend() && found.size() < maxResults; ++it) {
        if (crashes(now, *it) >= QuarantineThreshold)
            found.push_back(*it);
    }
    return found;
}

} // namespace snipestall::policy
