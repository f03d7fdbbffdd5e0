#include "snipestall/entry/crash_ledger.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>

namespace snipestall::entry {

namespace {

/// A caller's retries come within minutes; after this a rebuilt engine may well take the request.
constexpr std::chrono::minutes KeepReports { 15 };
/// Bounds the heartbeat: 32 reports are some 800 bytes, and only while servers crash.
constexpr std::size_t MaxReports = 32;
constexpr std::chrono::seconds TogetherWithin { 5 };
/// A second try waits for a peer's summary and for a server to be emptied; then it takes moments.
constexpr std::chrono::seconds TrialTime { 10 };
constexpr std::size_t ManyServers = 4;

} // namespace

std::uint64_t CrashLedger::fingerprint(std::string_view customer, std::string_view service,
                                       std::string_view body)
{
    std::string joined(customer);
    joined.append("\n").append(service).append("\n").append(body);
    return stableHash(joined);
}

bool CrashLedger::note(const peer::CrashReport &report, std::chrono::steady_clock::time_point now)
{
    const auto same = std::find_if(m_entries.begin(), m_entries.end(),
                                   [&](const Entry &entry) { return entry.report == report; });
    if (same != m_entries.end())
        return false;
    m_entries.push_back({ report, now });
    if (m_entries.size() > MaxReports)
        m_entries.erase(m_entries.begin());
    return true;
}

// A rack that loses its power takes many servers at once, and with them requests that did nothing;
// one that is moved from the first to die to the next would pass for the cause. So where many
// servers died together, only a request that was on at least half of them is blamed.
std::set<std::string> CrashLedger::servers(std::uint64_t fingerprint) const
{
    std::set<std::string> names;
    std::chrono::steady_clock::time_point last {};
    for (const Entry &entry : m_entries) {
        if (entry.report.fingerprint != fingerprint)
            continue;
        names.insert(entry.report.server);
        last = std::max(last, entry.at);
    }
    std::set<std::string> together;
    for (const Entry &entry : m_entries) {
        if (std::chrono::abs(entry.at - last) <= TogetherWithin)
            together.insert(entry.report.server);
    }
    const bool commonCause = together.size() >= ManyServers && names.size() * 2 < together.size();
    return commonCause ? std::set<std::string> {} : names;
}

// Failure: a caller sends a crashing request to several instances at once. After the first death
// each instance tries its own copy alone on a server; it shows as three and more servers lost to
// one prompt. The copy that was there first has its second try; others wait until that is decided.
std::chrono::milliseconds CrashLedger::trialLeft(std::uint64_t fingerprint,
                                                 std::chrono::steady_clock::time_point now) const
{
    std::chrono::milliseconds left {};
    for (const Entry &entry : m_entries) {
        const auto rest =
            std::chrono::duration_cast<std::chrono::milliseconds>(entry.at + TrialTime - now);
        if (entry.report.fingerprint == fingerprint)
            left = std::max(left, rest);
    }
    return left;
}

std::vector<peer::CrashReport> CrashLedger::recent() const
{
    std::vector<peer::CrashReport> reports;
    reports.reserve(m_entries.size());
    for (const Entry &entry : m_entries)
        reports.push_back(entry.report);
    return reports;
}

void CrashLedger::expire(std::chrono::steady_clock::time_point now)
{
    std::erase_if(m_entries, [now](const Entry &entry) { return now - entry.at > KeepReports; });
}

} // namespace snipestall::entry
