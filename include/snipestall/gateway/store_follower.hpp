#pragma once

#include "platform/store_client.hpp"
#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/gateway/table_copy.hpp"
#include "snipestall/serving/lapse_window.hpp"
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
/// Failures it guards against: the store is away (what is known stays in force); entries of
/// servers that live lapse while it is away (they are kept until the servers have had time to list
/// themselves again); its history is dropped (the table is read anew); a configuration older than
/// the one in force (ignored).
class StoreFollower
{
public:
    StoreFollower(GatewayState &state, platform::StoreClient &store);

    /// Follows until the loop ends. `changed` is called after each new configuration.
    void start(std::function<void()> changed);
    /// Whether this instance reads the store for others; it also does when nobody else can say
    /// that its copy is complete.
    void setReader(bool reader) { m_reader = reader; }
    /// The copies of the tables that are followed.
    [[nodiscard]] const TableCopy &config() const { return m_config.copy; }
    [[nodiscard]] const TableCopy &list() const { return m_list.copy; }
    /// What a peer said of its copy of a table, and the changes it passed on.
    void peerCopy(const TableChanges &changes, const std::string &table,
                  std::chrono::milliseconds age);
    /// Takes as gone the servers whose entries lapsed and were not listed again, and takes back
    /// those that have proved that they live. To be called several times a second.
    void settleServers();

private:
    /// One table and what its rows mean.
    struct Feed
    {
        TableCopy copy;
        /// Returns, as removed, the rows that were known and are not among these.
        std::vector<platform::StoredRow> (StoreFollower::*snapshot)(
            const platform::StoredRows &rows);
        void (StoreFollower::*change)(const platform::StoredRow &row);
        bool read = false;
        bool away = false;
    };

    wire::Task<void> follow(Feed &feed);
    wire::Task<bool> step(Feed &feed);
    void answered(Feed &feed, std::chrono::milliseconds storeTime);
    void failed(Feed &feed, const Error &error);
    std::vector<platform::StoredRow> configSnapshot(const platform::StoredRows &rows);
    void configChange(const platform::StoredRow &row);
    std::vector<platform::StoredRow> listSnapshot(const platform::StoredRows &rows);
    void listChange(const platform::StoredRow &row);
    [[nodiscard]] Result<serving::BackendServer> readEntry(const platform::StoredRow &row) const;
    /// Logs a row that can't be read; once for each key, since it may be written again and again.
    void logFault(const platform::StoredRow &row, const Error &error);
    static void logSkipped(const Feed &feed, const platform::StoredRows &rows);
    void serverGone(const std::string &id);
    /// Drops what is kept elsewhere of an incarnation that has ended.
    void forget(const serving::ServerState &server, const char *reason);
    [[nodiscard]] bool mustPoll(const Feed &feed) const;
    [[nodiscard]] std::chrono::milliseconds pollWait() const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    Feed m_config;
    Feed m_list;
    bool m_reader = false;
    serving::LapseWindow m_lapse;
    std::unordered_set<std::string> m_faultyLogged;
    std::function<void()> m_changed;
};

} // namespace snipestall::gateway
