#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/stream_origin.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace snipestall::serving {

class StreamRecords;

/// The record of one stream as it is kept in the store.
struct StoredStream
{
    /// Identifies the attempt that brought the first event, see StreamRecords::keyOf().
    std::uint64_t key = 0;
    StreamOrigin origin;
    /// On the clock of the store.
    std::chrono::milliseconds expiresAt { 0 };

    bool operator==(const StoredStream &other) const = default;
};

/// One row of the store: the records that an instance has passed on within about a second.
struct StreamGroup
{
    /// Number of the row among those of the instance.
    std::uint32_t slot = 0;
    /// When the row was made, on the clock of the store.
    std::chrono::milliseconds writtenAt { 0 };
    std::vector<StoredStream> streams;
};

/// Decides which records of begun streams an instance writes into the store, and when.
///
/// Failure: all instances are killed while several versions may have begun streams. Nobody knows
/// any more which version began a stream, so each one that its caller takes up is refused. The
/// records are therefore also kept in the store, in groups, for as long as callers wait. Load: rows
/// are written at most once an interval by each writer and only if there are new records; the rows
/// of a writer are a ring, so that nothing grows. A write that is lost or late costs streams only.
class StreamGroups
{
public:
    /// Rows of one writer, one for each second.
    static constexpr std::uint32_t Slots = 32;
    /// Longest time for which a record is kept. A row is replaced once all of its records, whose
    /// times are rounded up to a second, have expired.
    static constexpr std::chrono::milliseconds MaxKept { 30000 };
    /// Bounds a row to some 45 KB, which base64 makes 60 KB; the store takes 64 KB.
    static constexpr std::size_t MaxStreams = 4000;
    /// Bytes of the names of services and versions in a row.
    static constexpr std::size_t MaxNameBytes = 4000;
    /// Rows that have not been written for so long belong to instances that are gone.
    static constexpr std::chrono::minutes RemovedAfter { 2 };

    /// Returns the row to be written now, if there are records that no row holds. `records`: those
    /// that this instance passes on. `storeTime`: time on the clock of the store.
    std::optional<StreamGroup> next(const StreamRecords &records,
                                    std::chrono::milliseconds interval,
                                    std::chrono::milliseconds storeTime, SteadyTime now);
    /// The row that next() has returned last was written.
    void written();
    /// The row may not have been written. Its records are written again.
    void writeFailed(SteadyTime now);

private:
    /// Pauses between writes while they fail.
    static constexpr std::chrono::milliseconds MinPause { 100 };
    static constexpr std::chrono::milliseconds MaxPause { 2000 };

    void beginRow(std::int64_t second, std::chrono::milliseconds storeTime);
    void takeNew(const StreamRecords &records, std::chrono::milliseconds storeTime, SteadyTime now);
    void add(StoredStream stream);

    /// Second of the store's clock in which this process began. The process before it may have
    /// written the row of that second.
    std::optional<std::int64_t> m_startSecond;
    /// Second to which the present row belongs.
    std::int64_t m_second = 0;
    /// The present row, and the origins in it.
    std::vector<StoredStream> m_streams;
    std::set<StreamOrigin> m_origins;
    std::size_t m_nameBytes = 0;
    /// How many streams of the row the last write contained, and how many are certainly stored.
    std::size_t m_sent = 0;
    std::size_t m_stored = 0;
    /// Number of the first record that has not been taken.
    std::uint64_t m_nextNumber = 0;
    SteadyTime m_nextWrite;
    std::chrono::milliseconds m_pause { 0 };
};

} // namespace snipestall::serving
