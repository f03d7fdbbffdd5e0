#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/gateway/common_time.hpp"
#include "snipestall/serving/stream_groups.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace snipestall::platform {
class StoreClient;
struct RowName;
struct StoredRow;
struct StoredRows;
} // namespace snipestall::platform

namespace snipestall::gateway {

struct GatewayState;

/// Keeps the records of begun streams in the store while several versions are registered, and reads
/// what others have written there. Only instances that hold the records of the fleet write and
/// read; the others ask these.
class StreamGroupStore
{
public:
    struct Hooks
    {
        /// Whether this instance holds the records of all streams.
        std::function<bool()> holdsRecords;
        /// Whether it passes records of other instances on, too.
        std::function<bool()> hasMembers;
        /// Whether it acts on behalf of all instances.
        std::function<bool()> holdsLease;
    };

    StreamGroupStore(GatewayState &state, platform::StoreClient &store, Hooks hooks);

    /// Does what is due. To be called every few tens of milliseconds, once at a time.
    wire::Task<void> tick();
    /// A stream is taken up whose origin this instance does not know: reads the groups soon.
    void streamUnknown() { m_readWanted = true; }
    /// Reads the groups into the records of this instance, unless that was done very recently.
    /// Returns false if the store has not answered within `timeout`.
    wire::Task<bool> readRecently(std::chrono::milliseconds timeout);
    [[nodiscard]] bool holdsRecords() const { return m_hooks.holdsRecords(); }

private:
    wire::Task<bool> read(std::chrono::milliseconds timeout);
    /// Takes over the records of the rows. Returns the number of records.
    wire::Task<std::size_t> takeOver(std::vector<platform::StoredRow> rows);
    wire::Task<void> write(serving::StreamGroup group);
    /// Removes rows of instances that no longer write.
    wire::Task<void> removeOld();
    [[nodiscard]] bool mayRead(SteadyTime now) const;
    [[nodiscard]] platform::RowName rowName(std::uint32_t slot) const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    Hooks m_hooks;
    serving::StreamGroups m_groups;
    CommonTime m_storeClock;
    bool m_reading = false;
    /// Set at first, so that a process that has just started knows the streams begun before.
    bool m_readWanted = true;
    SteadyTime m_readBegunAt;
    /// When the newest read that has succeeded began.
    std::optional<SteadyTime> m_readDoneSince;
    std::chrono::milliseconds m_readInterval;
    bool m_writesFail = false;
    /// Whether there may be rows to be removed.
    bool m_mayHaveRows = true;
    SteadyTime m_removeAt;
};

} // namespace snipestall::gateway
