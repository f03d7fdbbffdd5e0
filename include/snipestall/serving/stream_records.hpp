#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/stream_origin.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

/// The origin of one stream, for as long as its caller may take it up.
struct StreamRecord
{
    /// Identifies the attempt that brought the first event, see StreamRecords::keyOf().
    std::uint64_t key = 0;
    StreamOrigin origin;
    std::chrono::milliseconds keptFor { 0 };
};

/// The origins of the streams that instances have begun.
///
/// Failure: a stream goes on at a server of another version than the one that began it, because the
/// instance at which its caller takes it up knows nothing of the first attempt. Each instance
/// therefore numbers the streams that it begins or continues, and passes them on to others, which
/// keep them. Load: records grow with the requests of the whole fleet. So a member passes its
/// records to its hub, and only the hubs pass them on to each other; everyone else asks a hub when
/// a stream is taken up.
class StreamRecords
{
public:
    /// What is known of one stream.
    struct Known
    {
        /// Not set if several origins were recorded for the same attempt, which a caller causes
        /// that uses an id twice.
        std::optional<StreamOrigin> origin;
        std::chrono::milliseconds age { 0 };
        /// Whether it is known from the store alone.
        bool fromStore = false;
    };
    /// Records to be passed on.
    struct Batch
    {
        std::vector<StreamRecord> records;
        /// Number of the first record that is not in the batch.
        std::uint64_t next = 0;
    };

    /// `firstNumber`: number of the first record, random, so that the numbers of a process before
    /// are not taken for those of this one.
    explicit StreamRecords(std::uint64_t firstNumber);

    /// Returns the key of an attempt of a customer. Another customer can't name it.
    static std::uint64_t keyOf(const std::string &customer, const std::string &attempt);

    /// This instance, or a member whose hub it is, began or continued a stream.
    void add(const StreamRecord &record, SteadyTime now);
    /// Another instance has passed a record on that is not to be passed on again.
    void addHeard(const StreamRecord &record, SteadyTime now);
    /// The same of a record that was read from the store.
    void addStored(const StreamRecord &record, SteadyTime now);
    [[nodiscard]] std::optional<Known> find(std::uint64_t key, SteadyTime now) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

    /// Returns the records from a number on, as many as fit into a report; all that are left if the
    /// number is none of this process.
    [[nodiscard]] Batch since(std::uint64_t number, SteadyTime now) const;

    /// Longest time for which a record is kept, whatever a caller asks for.
    static constexpr std::chrono::milliseconds MaxKept { 60000 };
    /// Bounds the records of one report to some 20 KB.
    static constexpr std::size_t MaxBatch = 2000;

private:
    /// Bounds the memory: 60 seconds at 5,000 streams a second.
    static constexpr std::size_t MaxEntries = 300000;
    static constexpr std::size_t MaxOrigins = 1000;
    static constexpr std::chrono::milliseconds PruneInterval { 1000 };

    struct Entry
    {
        /// Index into m_origins.
        std::uint32_t origin = 0;
        bool ambiguous = false;
        /// Whether the record is one of those that are passed on.
        bool passedOn = false;
        bool fromStore = false;
        SteadyTime addedAt;
        SteadyTime expiresAt;
    };
    struct Numbered
    {
        std::uint64_t key = 0;
        std::uint32_t origin = 0;
        SteadyTime expiresAt;
    };

    /// Returns the entry if the record is to be kept; null if there is no room for it.
    Entry *keep(const StreamRecord &record, bool fromStore, SteadyTime now);
    [[nodiscard]] std::optional<std::uint32_t> indexOf(const StreamOrigin &origin);
    void prune(SteadyTime now);

    std::vector<StreamOrigin> m_origins;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    /// The records to be passed on; the first one has the number m_firstNumber.
    std::deque<Numbered> m_numbered;
    std::uint64_t m_firstNumber;
    SteadyTime m_nextPrune;
};

} // namespace snipestall::serving
