#pragma once

#include "stream_group_row.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/serving/stream_groups.hpp"
#include "snipestall/serving/stream_records.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipestall::gateway {

/// The rows with the records of begun streams in simulated time, and how an instance writes and
/// reads them. A part of the calls is lost, or their answers are.
class StreamStoreModel
{
public:
    /// What one instance has under way.
    struct Client
    {
        struct Write
        {
            SteadyTime endsAt;
            bool answered = false;
        };
        serving::StreamGroups groups;
        std::optional<Write> write;
        bool readWanted = true;
        std::optional<SteadyTime> readEndsAt;
        bool readAnswered = false;
        SteadyTime readBegunAt;
        std::chrono::milliseconds readInterval { MinReadInterval };
    };

    explicit StreamStoreModel(std::uint64_t seed)
        : m_random(seed)
    { }

    /// While true, no call reaches the store.
    void setAway(bool away) { m_away = away; }

    void tick(const std::string &name, Client &client, serving::StreamRecords &records,
              bool hasMembers, SteadyTime now)
    {
        endCalls(client, records, now);
        if (client.readWanted && !client.readEndsAt
            && now - client.readBegunAt >= client.readInterval)
            beginRead(client, now);
        if (client.write)
            return;
        const auto group = client.groups.next(
            records, hasMembers ? MemberWriteInterval : WriteInterval,
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()), now);
        if (group)
            write(name, client, *group, now);
    }

    void resetCounts()
    {
        m_writes = 0;
        m_reads = 0;
        m_bytesWritten = 0;
        m_bytesRead = 0;
    }
    [[nodiscard]] std::size_t writes() const { return m_writes; }
    [[nodiscard]] std::size_t reads() const { return m_reads; }
    /// Bytes of the values in base64, with some for the names of each row.
    [[nodiscard]] std::size_t bytesWritten() const { return m_bytesWritten; }
    [[nodiscard]] std::size_t bytesRead() const { return m_bytesRead; }
    [[nodiscard]] std::size_t rows() const { return m_rows.size(); }
    [[nodiscard]] std::size_t largestRow() const { return m_largestRow; }

private:
    /// As in StreamGroupStore.
    static constexpr std::chrono::milliseconds WriteInterval { 100 };
    static constexpr std::chrono::milliseconds MemberWriteInterval { 150 };
    static constexpr std::chrono::milliseconds WriteTimeout { 300 };
    static constexpr std::chrono::milliseconds ReadTimeout { 1200 };
    static constexpr std::chrono::milliseconds MinReadInterval { 300 };
    static constexpr std::chrono::milliseconds MaxReadInterval { 4000 };
    static constexpr std::chrono::milliseconds CalmAfter { 10000 };
    static constexpr std::chrono::milliseconds CallTime { 20 };
    static constexpr std::size_t RowOverhead = 120;

    static std::size_t sizeOf(const std::string &value)
    {
        return (value.size() + 2) / 3 * 4 + RowOverhead;
    }

    /// One call in fifty is lost, and the answer of as many.
    bool isLost() { return m_away || m_random.below(50) == 0; }

    void write(const std::string &name, Client &client, const serving::StreamGroup &group,
               SteadyTime now)
    {
        const std::string value = encodeStreamGroup(group);
        ++m_writes;
        m_bytesWritten += sizeOf(value);
        m_largestRow = std::max(m_largestRow, sizeOf(value));
        const bool arrives = !isLost();
        if (arrives)
            m_rows[name + "/" + std::to_string(group.slot)] = value;
        const bool answered = arrives && !isLost();
        client.write = { now + (answered ? CallTime : WriteTimeout), answered };
    }

    void beginRead(Client &client, SteadyTime now)
    {
        ++m_reads;
        client.readWanted = false;
        client.readInterval = now - client.readBegunAt > CalmAfter
            ? MinReadInterval
            : std::min(2 * client.readInterval, MaxReadInterval);
        client.readBegunAt = now;
        client.readAnswered = !isLost();
        client.readEndsAt = now + (client.readAnswered ? CallTime : ReadTimeout);
    }

    void endCalls(Client &client, serving::StreamRecords &records, SteadyTime now)
    {
        if (client.write && client.write->endsAt <= now) {
            if (client.write->answered)
                client.groups.written();
            else
                client.groups.writeFailed(now);
            client.write.reset();
        }
        if (!client.readEndsAt || *client.readEndsAt > now)
            return;
        client.readEndsAt.reset();
        client.readWanted |= !client.readAnswered;
        if (client.readAnswered)
            takeOver(records, now);
    }

    void takeOver(serving::StreamRecords &records, SteadyTime now)
    {
        const auto storeTime =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
        for (const auto &[name, value] : m_rows) {
            m_bytesRead += sizeOf(value);
            const auto group = decodeStreamGroup(value);
            if (!group)
                continue;
            for (const serving::StoredStream &each : group->streams) {
                if (each.expiresAt > storeTime)
                    records.addStored({ each.key, each.origin, each.expiresAt - storeTime }, now);
            }
        }
    }

    Random m_random;
    bool m_away = false;
    std::map<std::string, std::string> m_rows;
    std::size_t m_writes = 0;
    std::size_t m_reads = 0;
    std::size_t m_bytesWritten = 0;
    std::size_t m_bytesRead = 0;
    std::size_t m_largestRow = 0;
};

} // namespace snipestall::gateway
