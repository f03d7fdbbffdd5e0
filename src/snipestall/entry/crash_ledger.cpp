#include "snipestall/entry/crash_ledger.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>

namespace snipestall::entry {

namespace {

/// Retries of a caller arrive within minutes; after this time a rebuilt engine may be able to run
/// the request.
constexpr std::chrono::minutes ReportRetention { 15 };
/// Bounds the size of heartbeats: 32 reports take about 800 bytes, and are sent only while servers
/// crash.
constexpr std::size_t MaxReports = 32;
/// Other crashes within this time of the last crash of a request may have the same cause as it.
constexpr std::chrono::seconds CommonCauseWindow { 5 };
/// How long copies are held back after a crash. The second attempt waits for a peer's load summary
/// and for a server to be drained, and then takes only moments.
constexpr std::chrono::seconds TrialDuration { 10 };
/// Number of servers that must crash together to suggest a common cause.
constexpr std::size_t MinServersForCommonCause = 4;

} // namespace

std::uint64_t CrashLedger::fingerprint(std::string_view customer, std::string_view service,
                                       std::string_view body)
{
    std::string joined(customer);
    joined.append("\n").append(service).append("\n").append(body);
    return stableHash(joined);
}

bool CrashLedger::add(const peer::CrashReport &report, std::chrono::steady_clock::time_point now)
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

// A power failure of a rack takes down many servers at once, together with requests that are not
// the cause. A request that is moved from the first failing server to the next would look like the
// cause. Therefore, when many servers crash together, the crashes are attributed only to a request
// that was on at least half of them.
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
    std::set<std::string> crashedTogether;
    for (const Entry &entry : m_entries) {
        if (std::chrono::abs(entry.at - last) <= CommonCauseWindow)
            crashedTogether.insert(entry.report.server);
    }
    const bool commonCause = crashedTogether.size() >= MinServersForCommonCause
        && names.size() * 2 < crashedTogether.size();
    return commonCause ? std::set<std::string> {} : names;
}

// A caller may send a crashing request to several instances at once. If each instance retried its
// own copy alone on a server after the first crash, three or more servers would be lost to one
// prompt. Therefore only the first copy gets a second attempt; the others are held back until that
// is decided.
std::chrono::milliseconds
CrashLedger::remainingTrialTime(std::uint64_t fingerprint,
                                std::chrono::steady_clock::time_point now) const
{
    std::chrono::milliseconds left {};
    for (const Entry &entry : m_entries) {
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(entry.at + TrialDuration - now);
        if (entry.report.fingerprint == fingerprint)
            left = std::max(left, remaining);
    }
    return left;
}

std::vector<peer::CrashReport> CrashLedger::recentReports() const
{
    std::vector<peer::CrashReport> reports;
    reports.reserve(m_entries.size());
    for (const Entry &entry : m_entries)
        reports.push_back(entry.report);
    return reports;
}

void CrashLedger::expire(std::chrono::steady_clock::time_point now)
{
    std::erase_if(m_entries,
                  [now](const Entry &entry) { return now - entry.at > ReportRetention; });
}

} // namespace snipestall::entry
