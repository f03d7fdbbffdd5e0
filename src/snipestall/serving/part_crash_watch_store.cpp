// The part of PartCrashWatch that keeps blocked parts in the store, and tries them once more.

#include "snipestall/serving/part_crash_watch.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

namespace {

/// Stands for the ends that led to a block which the store has kept.
constexpr auto StoredEnd = "stored";

bool contains(const std::vector<StoredPart> &row, const PartName &name)
{
    return std::ranges::find(row, name, &StoredPart::name) != row.end();
}

} // namespace

void PartCrashWatch::rowRead(const std::vector<StoredPart> &row, SteadyTime now)
{
    m_known = true;
    for (auto &[key, each] : m_suspects) {
        if (!each.stored || contains(row, each.name))
            continue;
        // Another instance has seen an answer, or an operator has removed the entry.
        each.stored = false;
        if (each.blocked) {
            each.answered = now;
            noteChange(each, now);
        }
    }
    for (const StoredPart &part : row) {
        const std::uint64_t key = part.name.key();
        const bool isNew = !m_suspects.contains(key);
        Suspect *suspect = findOrAdd(part.name, key, now);
        if (suspect == nullptr)
            continue;
        suspect->stored = true;
        suspect->tried = !part.triedBy.empty();
        if (!isNew)
            continue;
        addEnd(*suspect, StoredEnd, now);
        block(*suspect, now);
    }
}

bool PartCrashWatch::mustStore() const
{
    return std::ranges::any_of(
        m_suspects, [](const auto &entry) { return entry.second.blocked != entry.second.stored; });
}

std::vector<StoredPart> PartCrashWatch::updated(std::vector<StoredPart> row,
                                                const std::string &process, SteadyTime now)
{
    std::erase_if(row, [this](const StoredPart &part) {
        const auto found = m_suspects.find(part.name.key());
        return found != m_suspects.end() && !found->second.blocked;
    });
    for (auto &[key, each] : m_suspects) {
        if (!each.blocked)
            continue;
        if (!contains(row, each.name) && row.size() < MaxBlocked)
            row.push_back({ each.name, std::string() });
        const auto part = std::ranges::find(row, each.name, &StoredPart::name);
        const bool due = each.trialWanted && now - each.blockedAt >= TrialAfter;
        if (part != row.end() && due && part->triedBy.empty())
            part->triedBy = process;
    }
    std::ranges::sort(row, {}, &StoredPart::name);
    return row;
}

bool PartCrashWatch::anyBlocked() const
{
    return std::ranges::any_of(m_suspects, [](const auto &entry) { return entry.second.blocked; });
}

std::size_t PartCrashWatch::blockedParts() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_suspects, [](const auto &entry) { return entry.second.blocked; }));
}

bool PartCrashWatch::takeTrial(const PromptParts &parts, SteadyTime now)
{
    Suspect *blocked = nullptr;
    for (const std::uint64_t key : parts.keys()) {
        const auto found = m_suspects.find(key);
        if (found == m_suspects.end() || !found->second.blocked)
            continue;
        // With two blocked parts an end would say nothing of either.
        if (blocked != nullptr)
            return false;
        blocked = &found->second;
    }
    if (blocked == nullptr)
        return false;
    if (blocked->trialUntil && now < *std::exchange(blocked->trialUntil, std::nullopt))
        return true;
    blocked->trialWanted = !blocked->tried;
    return false;
}

bool PartCrashWatch::trialDue(SteadyTime now) const
{
    return std::ranges::any_of(m_suspects, [now](const auto &entry) {
        const Suspect &each = entry.second;
        return each.blocked && each.stored && each.trialWanted && !each.tried
            && now - each.blockedAt >= TrialAfter;
    });
}

void PartCrashWatch::trialsGranted(const std::vector<StoredPart> &row, const std::string &process,
                                   SteadyTime now)
{
    for (const StoredPart &part : row) {
        const auto found = m_suspects.find(part.name.key());
        if (found == m_suspects.end() || !found->second.blocked)
            continue;
        Suspect &each = found->second;
        each.tried = !part.triedBy.empty();
        if (each.trialWanted && part.triedBy == process)
            each.trialUntil = now + TrialValid;
        each.trialWanted = each.trialWanted && !each.tried;
    }
}

std::vector<PartCrashWatch::Change> PartCrashWatch::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace snipestall::serving
