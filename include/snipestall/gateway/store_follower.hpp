#pragma once

#include "platform/store_client.hpp"
#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/gateway/table_copy.hpp"
#include "snipestall/serving/expiry_window.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {
struct BackendServer;
struct ServerState;
} // namespace snipestall::serving

namespace snipestall::gateway {

struct GatewayState;

/// Keeps the operator's configuration and the list of backend servers up to date from the store.
///
/// Failures it guards against: the store is unavailable (the last known data stays in force);
/// entries of running servers expire while it is unavailable (they are kept until the servers have
/// had time to list themselves again); the store drops its history (the table is read again in
/// full); a configuration is older than the one in force (it is ignored).
class StoreFollower
{
public:
    StoreFollower(GatewayState &state, platform::StoreClient &store);

    /// Starts following the tables until the loop ends. `changed` is called after each new
    /// configuration and after each full read of the list.
    void start(std::function<void()> changed);
    /// Sets whether this instance reads the store for others. It also reads the store when no other
    /// instance can confirm that its copy is complete.
    void setReader(bool reader) { m_reader = reader; }
    /// Whether this instance gets the changes of the list from the store itself.
    [[nodiscard]] bool readsList() const { return mustPoll(m_list); }
    /// Copies of the tables that are followed.
    [[nodiscard]] const TableCopy &config() const { return m_config.copy; }
    [[nodiscard]] const TableCopy &list() const { return m_list.copy; }
    /// Applies the changes of a table that a peer has passed on. Errors: see
    /// TableCopy::advanceFromPeer.
    Result<void> applyPeerChanges(const std::string &table, const TableChanges &changes);
    /// Records that a peer with a copy of this version knew it to be complete `age` ago.
    void confirmFromPeer(const std::string &table, std::int64_t version,
                         std::chrono::milliseconds age);
    /// Removes the servers whose entries expired and were not listed again, and readmits those that
    /// have proved to be running. The caller calls it several times a second.
    void updateExpiredServers();

private:
    /// One table that is followed, and the functions that apply its rows.
    struct Feed
    {
        TableCopy copy;
        /// Applies a whole table. Returns, marked as removed, the rows that were known and are not
        /// in it.
        std::vector<platform::StoredRow> (StoreFollower::*snapshot)(
            const platform::StoredRows &rows);
        void (StoreFollower::*change)(const platform::StoredRow &row);
        bool loaded = false;
        /// The last answer may have left out later changes.
        bool behind = false;
        bool storeUnavailable = false;
    };

    Feed *feedOf(const std::string &table);
    wire::Task<void> follow(Feed &feed);
    wire::Task<bool> pollOnce(Feed &feed);
    void handlePollAnswer(Feed &feed, std::chrono::milliseconds storeTime);
    void handlePollError(Feed &feed, const Error &error);
    std::vector<platform::StoredRow> configSnapshot(const platform::StoredRows &rows);
    void configChange(const platform::StoredRow &row);
    void rolloutChange(const platform::StoredRow &row);
    std::vector<platform::StoredRow> listSnapshot(const platform::StoredRows &rows);
    void listChange(const platform::StoredRow &row);
    [[nodiscard]] Result<serving::BackendServer> readEntry(const platform::StoredRow &row) const;
    /// Logs a row that can't be read. Each key is logged once, because the row may be written again
    /// and again.
    void logFault(const platform::StoredRow &row, const Error &error);
    static void logSkipped(const Feed &feed, const platform::StoredRows &rows);
    void handleRemoval(const std::string &id);
    /// Drops the placement data and the connections of an incarnation that has ended.
    void forget(const serving::ServerState &server, const char *reason);
    [[nodiscard]] bool mustPoll(const Feed &feed) const;
    [[nodiscard]] std::chrono::milliseconds pollWait() const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    Feed m_config;
    Feed m_list;
    bool m_reader = false;
    serving::ExpiryWindow m_expiryWindow;
    std::unordered_set<std::string> m_faultyLogged;
    std::function<void()> m_changed;
};

} // namespace snipestall::gateway
