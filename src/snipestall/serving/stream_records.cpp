#include "snipestall/serving/stream_records.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>

namespace snipestall::serving {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

StreamRecords::StreamRecords(std::uint64_t firstNumber)
    : m_firstNumber(firstNumber)
{ }

std::uint64_t StreamRecords::keyOf(const std::string &customer, const std::string &attempt)
{
    // The length keeps the two texts apart, whatever they contain.
    return stableHash(std::to_string(customer.size()) + ":" + customer + attempt);
}

std::optional<std::uint32_t> StreamRecords::indexOf(const StreamOrigin &origin)
{
    const auto found = std::find(m_origins.begin(), m_origins.end(), origin);
    if (found == m_origins.end() && m_origins.size() >= MaxOrigins)
        return std::nullopt;
    const auto index = static_cast<std::uint32_t>(found - m_origins.begin());
    if (found == m_origins.end())
        m_origins.push_back(origin);
    return index;
}

StreamRecords::Entry *StreamRecords::keep(const StreamRecord &record, bool fromStore,
                                          SteadyTime now)
{
    prune(now);
    const auto origin = indexOf(record.origin);
    const bool hasRoom = m_entries.size() < MaxEntries || m_entries.contains(record.key);
    if (!origin || !hasRoom)
        return nullptr;
    const auto [at, isNew] = m_entries.try_emplace(record.key);
    Entry &entry = at->second;
    const bool expired = !isNew && entry.expiresAt <= now;
    if (isNew || expired)
        entry = { *origin, false, false, fromStore, now, {} };
    entry.fromStore = entry.fromStore && fromStore;
    entry.ambiguous |= entry.origin != *origin;
    entry.expiresAt = std::max(entry.expiresAt, now + std::min(record.keptFor, MaxKept));
    return &entry;
}

void StreamRecords::add(const StreamRecord &record, SteadyTime now)
{
    Entry *entry = keep(record, false, now);
    const auto origin = indexOf(record.origin);
    if (entry == nullptr || (entry->passedOn && entry->origin == *origin))
        return;
    entry->passedOn = true;
    m_numbered.push_back({ record.key, *origin, entry->expiresAt });
}

void StreamRecords::addHeard(const StreamRecord &record, SteadyTime now)
{
    keep(record, false, now);
}

void StreamRecords::addStored(const StreamRecord &record, SteadyTime now)
{
    keep(record, true, now);
}

std::optional<StreamRecords::Known> StreamRecords::find(std::uint64_t key, SteadyTime now) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.expiresAt <= now)
        return std::nullopt;
    const Entry &entry = found->second;
    Known known;
    known.age = duration_cast<milliseconds>(now - entry.addedAt);
    known.fromStore = entry.fromStore;
    if (!entry.ambiguous)
        known.origin = m_origins[entry.origin];
    return known;
}

StreamRecords::Batch StreamRecords::since(std::uint64_t number, SteadyTime now) const
{
    const std::uint64_t end = m_firstNumber + m_numbered.size();
    const bool isOwn = number >= m_firstNumber && number <= end;
    std::size_t at = isOwn ? static_cast<std::size_t>(number - m_firstNumber) : 0;
    Batch batch;
    for (; at < m_numbered.size() && batch.records.size() < MaxBatch; ++at) {
        const Numbered &each = m_numbered[at];
        if (each.expiresAt > now)
            batch.records.push_back({ each.key, m_origins[each.origin],
                                      duration_cast<milliseconds>(each.expiresAt - now) });
    }
    batch.next = m_firstNumber + at;
    return batch;
}

void StreamRecords::prune(SteadyTime now)
{
    while (!m_numbered.empty()
           && (m_numbered.front().expiresAt <= now || m_numbered.size() > MaxEntries)) {
        m_numbered.pop_front();
        ++m_firstNumber;
    }
    if (now < m_nextPrune)
        return;
    m_nextPrune = now + PruneInterval;
    std::erase_if(m_entries, [now](const auto &each) { return each.second.expiresAt <= now; });
}

} // namespace snipestall::serving
