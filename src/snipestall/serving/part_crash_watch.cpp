#include "snipestall/serving/part_crash_watch.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace snipestall::serving {

using std::chrono::milliseconds;

namespace {

milliseconds ageOf(SteadyTime time, SteadyTime now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(now - time), milliseconds(0));
}

} // namespace

SteadyTime PartCrashWatch::Suspect::lastEnd() const
{
    SteadyTime last = SteadyTime::min();
    for (const auto &[server, at] : ends)
        last = std::max(last, at);
    return last;
}

void PartCrashWatch::answered(const PromptParts &parts, SteadyTime now)
{
    for (const std::uint64_t key : parts.keys()) {
        m_answered.add(key, now);
        const auto found = m_suspects.find(key);
        if (found != m_suspects.end() && setAnswered(found->second, now))
            noteChange(found->second, now);
    }
}

void PartCrashWatch::serverEnded(const PromptParts &parts, const std::string &server, SteadyTime at,
                                 SteadyTime now)
{
    const std::vector<std::uint64_t> keys = parts.keys();
    for (std::size_t i = 0; i < keys.size(); ++i) {
        Suspect *suspect = findOrAdd({ parts.service, parts.model, parts.ids[i] }, keys[i], now);
        if (suspect != nullptr && addEnd(*suspect, server, at))
            noteChange(*suspect, now);
    }
}

PartCrashWatch::Suspect *PartCrashWatch::findOrAdd(const PartName &name, std::uint64_t key,
                                                   SteadyTime now)
{
    const auto found = m_suspects.find(key);
    if (found != m_suspects.end())
        return &found->second;
    if (m_suspects.size() >= MaxSuspects && !makeRoom())
        return nullptr;
    Suspect &suspect = m_suspects[key];
    suspect.name = name;
    suspect.answered = m_answered.last(key).value_or(SteadyTime::min());
    suspect.changedAt = now;
    return &suspect;
}

bool PartCrashWatch::makeRoom()
{
    auto weakest = m_suspects.end();
    for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
        const Suspect &each = it->second;
        if (each.blocked)
            continue;
        const bool weaker = weakest == m_suspects.end()
            || std::pair(each.count, each.lastEnd())
                < std::pair(weakest->second.count, weakest->second.lastEnd());
        if (weaker)
            weakest = it;
    }
    if (weakest == m_suspects.end())
        return false;
    m_suspects.erase(weakest);
    return true;
}

bool PartCrashWatch::addEnd(Suspect &suspect, const std::string &server, SteadyTime at)
{
    if (suspect.ends.contains(server))
        return false;
    if (suspect.ends.size() >= MaxEnds) {
        const auto oldest =
            std::ranges::min_element(suspect.ends, {}, [](const auto &end) { return end.second; });
        if (oldest->second >= at)
            return false;
        suspect.ends.erase(oldest);
    }
    suspect.ends.emplace(server, at);
    return true;
}

bool PartCrashWatch::setAnswered(Suspect &suspect, SteadyTime at)
{
    if (at <= suspect.answered)
        return false;
    const bool wasCleared = suspect.cleared();
    suspect.answered = at;
    return !wasCleared;
}

void PartCrashWatch::noteChange(Suspect &suspect, SteadyTime now)
{
    suspect.changedAt = now;
    m_stale = true;
    allowIfCleared(suspect);
}

void PartCrashWatch::block(Suspect &suspect, SteadyTime now)
{
    suspect.blocked = true;
    suspect.blockedAt = now;
    suspect.lastAsked = now;
    suspect.changedAt = now;
    m_stale = true;
    Change change { suspect.name, true, {} };
    for (const auto &[server, at] : suspect.ends)
        change.servers.push_back(server);
    m_changes.push_back(std::move(change));
    limitBlocked();
}

void PartCrashWatch::allowIfCleared(Suspect &suspect)
{
    if (suspect.blocked && suspect.cleared())
        allow(suspect);
}

void PartCrashWatch::allow(Suspect &suspect)
{
    suspect.blocked = false;
    suspect.trialUntil.reset();
    suspect.trialWanted = false;
    m_stale = true;
    m_changes.push_back({ suspect.name, false, {} });
}

void PartCrashWatch::limitBlocked()
{
    if (blockedParts() <= MaxBlocked)
        return;
    auto oldest = m_suspects.end();
    for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
        const bool older = it->second.blocked
            && (oldest == m_suspects.end() || it->second.lastAsked < oldest->second.lastAsked);
        if (older)
            oldest = it;
    }
    oldest->second.ends.clear();
    allow(oldest->second);
}

void PartCrashWatch::update(SteadyTime now)
{
    if (m_suspects.empty())
        return;
    if (m_stale)
        recount(now);
    if (!m_decideAt || now < *m_decideAt)
        return;
    while (blockStrongest(now))
        recount(now);
}

void PartCrashWatch::recount(SteadyTime now)
{
    m_stale = false;
    m_decideAt.reset();
    std::erase_if(m_suspects, [now](const auto &entry) {
        const Suspect &each = entry.second;
        if (each.blocked || each.stored)
            return false;
        return now - each.changedAt > (each.cleared() ? ClearedKept : SuspectKept);
    });
    m_explained.clear();
    for (const auto &[key, each] : m_suspects) {
        if (!each.blocked)
            continue;
        for (const auto &[server, at] : each.ends)
            m_explained.insert(server);
    }
    for (auto &[key, each] : m_suspects) {
        if (each.blocked)
            continue;
        each.count = static_cast<std::size_t>(
            std::ranges::count_if(each.ends, [this, &suspect = each](const auto &end) {
                return end.second > suspect.answered && !m_explained.contains(end.first);
            }));
        if (each.count < BlockThreshold)
            each.reachedAt.reset();
        else if (!each.reachedAt)
            each.reachedAt = each.changedAt;
        if (each.reachedAt)
            m_decideAt =
                std::min(m_decideAt.value_or(SteadyTime::max()), *each.reachedAt + SettleTime);
    }
}

bool PartCrashWatch::blockStrongest(SteadyTime now)
{
    std::vector<Suspect *> strongest;
    for (auto &[key, each] : m_suspects) {
        if (each.blocked || !each.reachedAt || now < *each.reachedAt + SettleTime)
            continue;
        if (!strongest.empty() && each.count > strongest.front()->count)
            strongest.clear();
        if (strongest.empty() || each.count == strongest.front()->count)
            strongest.push_back(&each);
    }
    if (strongest.empty())
        return false;
    // Parts that requests with the cause always have as well have as many ends as the cause. One
    // that was in answers before is less likely to be the cause.
    SteadyTime longestAgo = SteadyTime::max();
    for (const Suspect *each : strongest)
        longestAgo = std::min(longestAgo, each->answered);
    std::erase_if(strongest,
                  [longestAgo](const Suspect *each) { return each->answered != longestAgo; });
    // All servers may have ended before anything was answered. Every request with the cause has its
    // other parts as well, and other requests have these without the cause.
    std::uint64_t fewest = strongest.front()->asked;
    for (const Suspect *each : strongest)
        fewest = std::min(fewest, each->asked);
    for (Suspect *each : strongest) {
        if (each->asked == fewest)
            block(*each, now);
    }
    return true;
}

PartCrashWatch::Verdict PartCrashWatch::verdict(const PromptParts &parts, SteadyTime now)
{
    update(now);
    if (m_suspects.empty())
        return Verdict::Allowed;
    Verdict verdict = Verdict::Allowed;
    for (const std::uint64_t key : parts.keys()) {
        const auto found = m_suspects.find(key);
        if (found == m_suspects.end())
            continue;
        if (found->second.blocked) {
            found->second.lastAsked = now;
            return Verdict::Blocked;
        }
        ++found->second.asked;
        if (found->second.reachedAt)
            verdict = Verdict::Suspected;
    }
    return verdict;
}

bool PartCrashWatch::explains(const std::string &server) const
{
    return m_explained.contains(server);
}

void PartCrashWatch::receive(const PartReport &report, SteadyTime now)
{
    const std::uint64_t key = report.name.key();
    if (!m_suspects.contains(key) && report.ends.empty())
        return;
    Suspect *suspect = findOrAdd(report.name, key, now);
    if (suspect == nullptr)
        return;
    bool changed = false;
    for (const ServerEnd &end : report.ends)
        changed |= addEnd(*suspect, end.server, now - end.age);
    if (report.answered)
        changed |= setAnswered(*suspect, now - *report.answered);
    suspect->stored |= report.stored && report.blocked;
    if (report.blocked && !suspect->blocked) {
        // A part that was in an answer since is told to be allowed for as long as others block it.
        changed = true;
        if (!suspect->cleared())
            block(*suspect, now);
    }
    if (changed)
        noteChange(*suspect, now);
}

std::vector<PartReport> PartCrashWatch::reports(bool all, SteadyTime now) const
{
    std::vector<const Suspect *> told;
    for (const auto &[key, each] : m_suspects) {
        if (all || each.blocked || now - each.changedAt <= ReportPeriod)
            told.push_back(&each);
    }
    // The strongest first, because a report has room for a limited number beside the blocked ones.
    std::ranges::sort(told, [](const Suspect *left, const Suspect *right) {
        return std::tuple(left->blocked, left->count, left->changedAt)
            > std::tuple(right->blocked, right->count, right->changedAt);
    });
    told.resize(std::min(told.size(), blockedParts() + MaxSuspectsTold));
    std::vector<PartReport> reports;
    reports.reserve(told.size());
    for (const Suspect *each : told)
        reports.push_back(reportOf(*each, all || now - each->changedAt <= ReportPeriod, now));
    return reports;
}

PartReport PartCrashWatch::reportOf(const Suspect &suspect, bool whole, SteadyTime now) const
{
    PartReport report { suspect.name, {}, std::nullopt, suspect.blocked, suspect.stored };
    if (suspect.answered != SteadyTime::min())
        report.answered = ageOf(suspect.answered, now);
    for (const auto &[server, at] : suspect.ends)
        report.ends.push_back({ server, ageOf(at, now) });
    std::ranges::sort(report.ends, {}, &ServerEnd::age);
    // The last end says which answers are later than the block.
    report.ends.resize(std::min(report.ends.size(), whole ? MaxEndsTold : 1));
    return report;
}

} // namespace snipestall::serving
