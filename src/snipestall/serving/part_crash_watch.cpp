#include "snipestall/serving/part_crash_watch.hpp"

#include <algorithm>
#include <limits>
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
        if (each.blocked || each.group != 0)
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
    noteDecision(suspect, ChangeKind::Blocked);
    limitBlocked();
}

void PartCrashWatch::noteDecision(Suspect &suspect, ChangeKind kind)
{
    Change change { suspect.name, kind, {} };
    for (const auto &[server, at] : suspect.ends)
        change.servers.push_back(server);
    m_changes.push_back(std::move(change));
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
    m_changes.push_back({ suspect.name, ChangeKind::Allowed, {} });
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
    if (m_stale) {
        dissolveGroups();
        recount(now);
    }
    if (!m_decideAt || now < *m_decideAt)
        return;
    if (!m_groupSizes.empty()) {
        dissolveGroups();
        recount(now);
    }
    while (decideOnStrongest(now))
        recount(now);
}

void PartCrashWatch::dissolveGroups()
{
    m_groupSizes.clear();
    for (auto &[key, each] : m_suspects)
        each.group = 0;
}

void PartCrashWatch::recount(SteadyTime now)
{
    m_stale = false;
    m_decideAt.reset();
    std::erase_if(m_suspects, [now](const auto &entry) {
        const Suspect &each = entry.second;
        if (each.blocked || each.stored || each.group != 0)
            return false;
        return now - each.changedAt > (each.cleared() ? ClearedKept : SuspectKept);
    });
    m_explained.clear();
    for (const auto &[key, each] : m_suspects) {
        if (!each.blocked && each.group == 0)
            continue;
        for (const auto &[server, at] : each.ends)
            m_explained.insert(server);
    }
    for (auto &[key, each] : m_suspects) {
        if (each.blocked)
            continue;
        if (each.group == 0)
            countEnds(each);
        if (!each.reachedAt)
            continue;
        const SteadyTime due = *each.reachedAt + SettleTime
            + (each.group == 0 ? SteadyTime::duration::zero() : GroupTime);
        m_decideAt = std::min(m_decideAt.value_or(SteadyTime::max()), due);
    }
}

std::vector<std::string> PartCrashWatch::countedServers(const Suspect &suspect) const
{
    std::vector<std::string> servers;
    for (const auto &[server, at] : suspect.ends) {
        if (at > suspect.answered && !m_explained.contains(server))
            servers.push_back(server);
    }
    return servers;
}

void PartCrashWatch::countEnds(Suspect &suspect) const
{
    suspect.count = countedServers(suspect).size();
    if (suspect.count < BlockThreshold) {
        suspect.reachedAt.reset();
        suspect.groupLogged = false;
    } else if (!suspect.reachedAt) {
        suspect.reachedAt = suspect.changedAt;
    }
}

std::vector<PartCrashWatch::Suspect *> PartCrashWatch::strongest()
{
    std::vector<Suspect *> strongest;
    for (auto &[key, each] : m_suspects) {
        if (each.blocked || each.group != 0 || !each.reachedAt)
            continue;
        if (!strongest.empty() && each.count > strongest.front()->count)
            strongest.clear();
        if (strongest.empty() || each.count == strongest.front()->count)
            strongest.push_back(&each);
    }
    // Parts that requests with the cause always have as well have as many ends as the cause. One
    // that was in answers before is less likely to be the cause.
    SteadyTime longestAgo = SteadyTime::max();
    for (const Suspect *each : strongest)
        longestAgo = std::min(longestAgo, each->answered);
    std::erase_if(strongest,
                  [longestAgo](const Suspect *each) { return each->answered != longestAgo; });
    // All servers may have ended before anything was answered. Every request with the cause has its
    // other parts as well, and other requests have these without the cause.
    std::uint64_t fewest = std::numeric_limits<std::uint64_t>::max();
    for (const Suspect *each : strongest)
        fewest = std::min(fewest, each->asked);
    std::erase_if(strongest, [fewest](const Suspect *each) { return each->asked != fewest; });
    return strongest;
}

bool PartCrashWatch::decideOnStrongest(SteadyTime now)
{
    std::vector<Suspect *> undecided = strongest();
    if (undecided.empty())
        return false;
    // An instance may have seen the ends of a sound part itself, and hear of those of the cause a
    // moment later.
    const auto [first, last] =
        std::ranges::minmax(undecided, {}, [](const Suspect *each) { return *each->reachedAt; });
    const SteadyTime due =
        std::min(*last->reachedAt + SettleTime, *first->reachedAt + 2 * SettleTime);
    if (now < due) {
        m_decideAt = due;
        return false;
    }
    while (!undecided.empty()) {
        const std::vector<std::string> servers = countedServers(*undecided.front());
        const auto alike =
            std::partition(undecided.begin(), undecided.end(),
                           [&](const Suspect *each) { return countedServers(*each) != servers; });
        decideOn({ alike, undecided.end() }, now);
        undecided.erase(alike, undecided.end());
    }
    return true;
}

void PartCrashWatch::decideOn(std::span<Suspect *const> alike, SteadyTime now)
{
    if (alike.size() == 1 || now >= *alike.front()->reachedAt + SettleTime + GroupTime) {
        for (Suspect *each : alike)
            block(*each, now);
        return;
    }
    // An instance that got no requests, or only crashing ones, can't tell the cause from a part
    // that all requests have. Blocking both would refuse all requests everywhere.
    m_groupSizes.push_back(alike.size());
    for (Suspect *each : alike) {
        each->group = m_groupSizes.size();
        if (!std::exchange(each->groupLogged, true))
            noteDecision(*each, ChangeKind::Grouped);
    }
}

PartCrashWatch::Verdict PartCrashWatch::verdict(const PromptParts &parts, SteadyTime now)
{
    update(now);
    if (m_suspects.empty())
        return Verdict::Allowed;
    Verdict verdict = Verdict::Allowed;
    std::vector<std::size_t> missing = m_groupSizes;
    std::vector<std::uint64_t> keys = parts.keys();
    if (!missing.empty()) {
        // A prompt may have a part twice.
        std::ranges::sort(keys);
        keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    }
    for (const std::uint64_t key : keys) {
        const auto found = m_suspects.find(key);
        if (found == m_suspects.end())
            continue;
        Suspect &suspect = found->second;
        if (suspect.blocked) {
            suspect.lastAsked = now;
            return Verdict::Blocked;
        }
        ++suspect.asked;
        if (suspect.group != 0 && --missing[suspect.group - 1] == 0)
            return Verdict::Blocked;
        if (suspect.group == 0 && suspect.reachedAt)
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
