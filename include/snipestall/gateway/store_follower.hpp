#pragma once

#include "platform/store_client.hpp"
#include "snipestall/base/clock.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

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
    /// Servers whose entries lapsed and were not listed again are taken as gone.
    void expireLapsed();

private:
    /// One table and what its rows mean.
    struct Feed
    {
        std::string table;
        void (StoreFollower::*snapshot)(const platform::StoredRows &rows);
        void (StoreFollower::*change)(const platform::StoredRow &row);
        /// Store version up to which the table is known.
        std::int64_t version = 0;
        bool read = false;
        bool away = false;
        SteadyTime answeredAt {};
    };

    wire::Task<void> follow(Feed &feed);
    wire::Task<bool> step(Feed &feed);
    void answered(Feed &feed, std::chrono::milliseconds storeTime);
    void failed(Feed &feed, const Error &error);
    void configSnapshot(const platform::StoredRows &rows);
    void configChange(const platform::StoredRow &row);
    void listSnapshot(const platform::StoredRows &rows);
    void listChange(const platform::StoredRow &row);
    void serverGone(const std::string &id);
    [[nodiscard]] std::chrono::milliseconds pollWait() const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    Feed m_config;
    Feed m_list;
    /// Entries that disappear before this moment may be back.
    SteadyTime m_lapseUntil;
    std::function<void()> m_changed;
};

} // namespace snipestall::gateway
