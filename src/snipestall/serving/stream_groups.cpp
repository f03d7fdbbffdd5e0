#include "snipestall/serving/stream_groups.hpp"

#include "snipestall/serving/stream_records.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipestall::serving {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::optional<StreamGroup> StreamGroups::next(const StreamRecords &records, milliseconds interval,
                                              milliseconds storeTime, SteadyTime now)
{
    const std::int64_t second = duration_cast<seconds>(storeTime).count();
    if (!m_startSecond)
        m_startSecond = second;
    if (second <= *m_startSecond || now < m_nextWrite)
        return std::nullopt;
    if (second != m_second)
        beginRow(second, storeTime);
    takeNew(records, storeTime, now);
    if (m_streams.size() == m_stored)
        return std::nullopt;
    m_sent = m_streams.size();
    m_nextWrite = now + interval;
    return StreamGroup { static_cast<std::uint32_t>(second % Slots), storeTime, m_streams };
}

void StreamGroups::written()
{
    m_stored = m_sent;
    m_pause = milliseconds(0);
}

void StreamGroups::writeFailed(SteadyTime now)
{
    m_pause = std::clamp(2 * m_pause, MinPause, MaxPause);
    m_nextWrite = now + m_pause;
}

void StreamGroups::beginRow(std::int64_t second, milliseconds storeTime)
{
    m_second = second;
    const std::vector<StoredStream> before = std::exchange(m_streams, {});
    m_origins.clear();
    m_nameBytes = 0;
    // What the writes before have not stored for certain belongs to the new row.
    for (std::size_t i = m_stored; i < before.size(); ++i) {
        if (before[i].expiresAt > storeTime)
            add(before[i]);
    }
    m_stored = 0;
    m_sent = 0;
}

void StreamGroups::takeNew(const StreamRecords &records, milliseconds storeTime, SteadyTime now)
{
    while (m_streams.size() + StreamRecords::MaxBatch <= MaxStreams) {
        const StreamRecords::Batch batch = records.since(m_nextNumber, now);
        m_nextNumber = batch.next;
        for (const StreamRecord &each : batch.records)
            add({ each.key, each.origin, storeTime + std::min(each.keptFor, MaxKept) });
        if (batch.records.size() < StreamRecords::MaxBatch)
            break;
    }
}

void StreamGroups::add(StoredStream stream)
{
    const std::size_t bytes = stream.origin.service.size() + stream.origin.version.size();
    if (!m_origins.contains(stream.origin)) {
        if (m_nameBytes + bytes > MaxNameBytes)
            return;
        m_nameBytes += bytes;
        m_origins.insert(stream.origin);
    }
    m_streams.push_back(std::move(stream));
}

} // namespace snipestall::serving
