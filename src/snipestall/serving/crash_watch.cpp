#include "snipestall/serving/crash_watch.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

bool CrashWatch::broke(std::uint64_t fingerprint, const std::string &server, SteadyTime now)
{
    auto &suspects = m_suspects[server];
    std::erase_if(suspects, [now](const Suspect &each) { return now - each.time > SuspectFor; });
    suspects.push_back({ fingerprint, now });
    return m_inDoubt.insert(server).second;
}

bool CrashWatch::inDoubt(const std::string &server) const
{
    return m_inDoubt.contains(server);
}

void CrashWatch::stillListens(const std::string &server)
{
    m_inDoubt.erase(server);
}

void CrashWatch::refused(const std::string &server, SteadyTime now)
{
    m_inDoubt.erase(server);
    const auto found = m_suspects.find(server);
    if (found == m_suspects.end())
        return;
    const auto suspects = std::exchange(found->second, {});
    m_suspects.erase(found);
    for (const Suspect &suspect : suspects) {
        if (now - suspect.time <= SuspectFor)
            reported({ suspect.fingerprint, server }, now);
    }
}

void CrashWatch::reported(const CrashReport &report, SteadyTime now)
{
    std::erase_if(m_ended,
                  [now](const auto &entry) { return now - entry.second.last > BlockedFor; });
    std::erase_if(m_told, [now](const Told &each) { return now - each.time > ToldFor; });
    if (m_ended.size() >= MostFingerprints && !m_ended.contains(report.fingerprint))
        return;
    Ended &ended = m_ended[report.fingerprint];
    // Told once already: passing it on again would keep it going round for ever.
    if (!ended.servers.insert(report.server).second)
        return;
    ended.last = now;
    m_told.push_back({ report, now });
}

// Failure: a rack loses its power, and a call that many callers send with the same empty body was
// in flight at three of its servers. It shows as that call refused to all callers for minutes.
void CrashWatch::answered(std::uint64_t fingerprint, SteadyTime now)
{
    m_answered.add(fingerprint, now);
    m_ended.erase(fingerprint);
}

bool CrashWatch::isInnocent(std::uint64_t fingerprint) const
{
    return m_answered.contains(fingerprint);
}

bool CrashWatch::hasEndedServer(std::uint64_t fingerprint) const
{
    return m_ended.contains(fingerprint);
}

bool CrashWatch::blocked(std::uint64_t fingerprint, SteadyTime now) const
{
    if (isInnocent(fingerprint))
        return false;
    const auto found = m_ended.find(fingerprint);
    return found != m_ended.end() && found->second.servers.size() >= MostServers
        && now - found->second.last <= BlockedFor;
}

std::vector<CrashReport> CrashWatch::recent(SteadyTime now) const
{
    std::vector<CrashReport> reports;
    for (const Told &told : m_told) {
        if (now - told.time <= ToldFor)
            reports.push_back(told.report);
    }
    return reports;
}

} // namespace snipestall::serving
