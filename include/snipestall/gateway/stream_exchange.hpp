#pragma once

#include "snipestall/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace snipestall::exchange::v1 {
class LoadReport;
class StreamAnswer;
} // namespace snipestall::exchange::v1

namespace snipestall::serving {
class StreamRecords;
}

namespace snipestall::gateway {

/// Passes the records of begun streams on in the reports between instances, each until its
/// receiver has confirmed it.
class StreamExchange
{
public:
    /// The records must outlive this object.
    explicit StreamExchange(serving::StreamRecords &records)
        : m_records(records)
    { }

    /// Adds the records that the receiver lacks. A member gets none: it asks its hub.
    void addTo(exchange::v1::LoadReport &report, const std::string &receiver, SteadyTime now) const;
    /// Takes over the records of a report.
    void reportReceived(const exchange::v1::LoadReport &report, SteadyTime now);
    /// Answers the query of a peer. Returns whether the stream is known.
    bool answer(std::uint64_t key, exchange::v1::StreamAnswer &answer, SteadyTime now) const;

private:
    struct Peer
    {
        std::string process;
        /// Number of the first record of that process that this instance lacks.
        std::uint64_t received = 0;
        /// Number of the first record of this instance that the peer lacks.
        std::uint64_t confirmed = 0;
    };

    serving::StreamRecords &m_records;
    std::map<std::string, Peer> m_peers;
};

} // namespace snipestall::gateway
