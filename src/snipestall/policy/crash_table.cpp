#include "snipestall/policy/crash_table.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// Longer than callers go on repeating a request that failed; afterwards the model or its engine
/// may have been mended.
constexpr Duration Lifetime = std::chrono::minutes(10);

/// A wave that kills hundreds of servers at once leaves this many neighbours at most.
constexpr std::size_t MaxEntries = 4096;

} // namespace

CrashTable::Entry &CrashTable::entry(Time now, std::uint64_t fingerprint)
{
    const auto [it, added] = m_entries.try_emplace(fingerprint);
    if (!added && it->second.expires <= now)
        it->second = {};
    it->second.expires = now + Lifetime;
    if (!added)
        return it->second;
    m_order.push_back(fingerprint);
    if (m_order.size() > MaxEntries) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
    return it->second;
}

std::uint32_t CrashTable::count(Time now, std::uint64_t fingerprint)
{
    return fingerprint == 0 ? 0 : ++entry(now, fingerprint).crashes;
}

void CrashTable::clear(std::uint64_t fingerprint)
{
    const auto it = m_entries.find(fingerprint);
    if (it != m_entries.end())
        it->second.crashes = 0;
}

void CrashTable::quarantine(Time now, std::uint64_t fingerprint)
{
    if (fingerprint != 0 && crashes(now, fingerprint) < QuarantinedAt)
        entry(now, fingerprint).crashes = QuarantinedAt;
}

std::uint32_t CrashTable::crashes(Time now, std::uint64_t fingerprint) const
{
    const auto it = m_entries.find(fingerprint);
    const bool live = it != m_entries.end() && it->second.expires > now;
    return live ? it->second.crashes : 0;
}

std::vector<std::uint64_t> CrashTable::quarantined(Time now, std::size_t most) const
{
    std::vector<std::uint64_t> found;
    for (auto it = m_order.rbegin(); it != m_order.rend() && found.size() < most; ++it) {
        if (crashes(now, *it) >= QuarantinedAt)
            found.push_back(*it);
    }
    return found;
}

} // namespace snipestall::policy
