#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/gateway/table_copy.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace snipestall::exchange::v1 {
class LoadReport;
class TableState;
} // namespace snipestall::exchange::v1

namespace snipestall::gateway {

/// Which versions of the followed tables other instances have, as they reported last, and the part
/// of the reports that is about tables.
class PeerTables
{
public:
    explicit PeerTables(std::string dataCentre);

    /// Records the state of the sender's copies.
    void reportReceived(const exchange::v1::LoadReport &report);
    /// Adds the state of a copy to a report, with the changes that the receiver's copy lacks.
    void addTo(exchange::v1::LoadReport &report, const std::string &receiver, const TableCopy &copy,
               SteadyTime now) const;
    /// Returns the changes that a report carries for one table. Without rows, the copy of the
    /// sender can only confirm a copy of the same version.
    static TableChanges changesIn(const exchange::v1::TableState &state);

private:
    struct Peer
    {
        std::string dataCentre;
        /// Version of each of its copies.
        std::map<std::string, std::int64_t> versions;
        /// Age of each copy at the last report: the time since which it may lack changes.
        std::map<std::string, std::chrono::milliseconds> ages;
    };

    /// Returns whether the copy of a table at a peer is kept up to date in the peer's own data
    /// centre.
    [[nodiscard]] bool hasLocalReader(const Peer &peer, const std::string &table) const;

    std::string m_dataCentre;
    std::map<std::string, Peer> m_peers;
};

} // namespace snipestall::gateway
