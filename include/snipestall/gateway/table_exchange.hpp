#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/gateway/change_fetch.hpp"
#include "snipestall/gateway/change_offers.hpp"
#include "snipestall/gateway/table_changes.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::exchange::v1 {
class ChangesAnswer;
class ChangesRequest;
class LoadReport;
class TableState;
} // namespace snipestall::exchange::v1

namespace snipestall::gateway {

class TableCopy;

/// Brings the changes of the followed tables from the instances that read the store to the others.
///
/// Small changes travel in the reports, each until the receiver has confirmed it. A report has to
/// arrive within a fraction of a second and is lost as a whole otherwise, so it carries nothing
/// large: it only tells that there are changes to be fetched, which the receiver requests part by
/// part.
class TableExchange
{
public:
    /// A request for changes that is to be sent to `peer`.
    struct Request
    {
        std::string peer;
        std::string table;
        ChangeFetch::Request details;
    };

    TableExchange(std::string instance, std::string dataCentre, std::uint64_t seed);

    /// Adds a table. The copy must outlive this object.
    void addTable(const TableCopy &copy);
    /// Adds the state of all copies to a report, with the changes that the receiver lacks.
    void addTo(exchange::v1::LoadReport &report, const std::string &receiver, SteadyTime now);
    /// Records the state of the sender's copies. Its changes are to be applied with `changesIn`,
    /// and `offered` is to be called afterwards.
    void reportReceived(const exchange::v1::LoadReport &report, SteadyTime now);
    /// Returns the changes that a report carries for one table, nothing if it has none. The error
    /// InvalidArgument means that they can't be read.
    static Result<std::optional<TableChanges>> changesIn(const exchange::v1::TableState &state);
    /// Handles that the sender of a report offers changes of a table to be fetched.
    void offered(const std::string &peer, const exchange::v1::TableState &state, SteadyTime now);
    /// Changes of a table did not fit the values of this copy; whole rows of `peer` will.
    void rejected(const std::string &table, const std::string &peer, std::int64_t version,
                  SteadyTime now);
    /// Returns the requests to be sent now, one at a time for each table.
    std::vector<Request> dueRequests(SteadyTime now);
    [[nodiscard]] exchange::v1::ChangesRequest messageOf(const Request &request) const;
    /// Answers the request of a peer.
    [[nodiscard]] exchange::v1::ChangesAnswer answer(const exchange::v1::ChangesRequest &request,
                                                     SteadyTime now);
    /// Handles the answer to a request. Returns the changes once they are complete.
    Result<std::optional<TableChanges>>
    answered(const std::string &table, const exchange::v1::ChangesAnswer &answer, SteadyTime now);
    void failed(const std::string &table, SteadyTime now);

private:
    /// Changes up to this size are part of the reports; tens of peers get them every interval until
    /// they have confirmed them.
    static constexpr std::size_t MaxReportBytes = 4096;
    /// The same for receivers that cannot fetch changes.
    static constexpr std::size_t MaxPlainBytes = std::size_t { 64 } << 10;
    /// Several intervals of reports. A copy that is older is not kept up to date by the reader of
    /// its data centre.
    static constexpr std::chrono::milliseconds LocalCopyMaxAge { 700 };
    /// A peer that has not reported for longer is not named as a holder.
    static constexpr std::chrono::milliseconds HoldersReportWithin { 1500 };
    static constexpr std::size_t MaxHolders = 3;

    struct Table
    {
        const TableCopy *copy = nullptr;
        ChangeOffers offers;
        ChangeFetch fetch;
    };
    struct Peer
    {
        std::string dataCentre;
        SteadyTime lastReportAt;
        bool takesChanges = false;
        /// Version of each of its copies.
        std::map<std::string, std::int64_t> versions;
        /// Age of each copy at the last report: the time since which it may lack changes.
        std::map<std::string, std::chrono::milliseconds> ages;
    };

    /// Returns whether the copy of a table at a peer is kept up to date in the peer's own data
    /// centre.
    [[nodiscard]] bool hasLocalReader(const Peer &peer, const std::string &table) const;
    void addChanges(exchange::v1::TableState &state, Table &table, const Peer &receiver,
                    SteadyTime now);
    /// Adds the rows in the form that earlier versions understand, unless they are large.
    static void addPlainRows(exchange::v1::TableState &state, const TableCopy &copy,
                             std::int64_t from);
    /// Names peers in the data centre of the receiver that have the changes.
    void addHolders(const exchange::v1::ChangesRequest &request,
                    exchange::v1::ChangesAnswer &answer, SteadyTime now);

    std::string m_instance;
    std::string m_dataCentre;
    Random m_random;
    std::map<std::string, Table> m_tables;
    std::map<std::string, Peer> m_peers;
};

} // namespace snipestall::gateway
