#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/gateway/report_book.hpp"
#include "snipestall/serving/peer_calls.hpp"
#include "snipestall/wire/task.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipestall::platform {
class StoreClient;
}

namespace snipestall::gateway {

class ExchangeServer;
class ExchangeChannel;
class StoreFollower;
class TableCopy;
struct GatewayState;

/// Tells the other instances several times a second what this one has at each backend server and
/// has taken from each quota, and takes in what they say; serving::PeerCalls says who talks to
/// whom.
///
/// Each pair needs one call per interval: it carries both sides' reports, and whoever comes first
/// makes it. Instances find each other by a table in the store, which is read rarely:
/// a new instance calls all others itself.
class LoadExchange
{
public:
    /// `holdsLease` tells whether this instance acts on behalf of all; `holderHeard` is called
    /// when a peer says that it does; `setCandidate` is told whether this instance is one of the
    /// few that are to compete for that.
    struct Hooks
    {
        std::function<bool()> holdsLease;
        std::function<void()> holderHeard;
        std::function<void(bool)> setCandidate;
    };

    static Result<std::unique_ptr<LoadExchange>>
    create(GatewayState &state, platform::StoreClient &store, StoreFollower &follower, Hooks hooks);
    ~LoadExchange();

    void start();
    /// Tells the store that this instance is gone.
    wire::Task<void> leave();
    /// Instances heard of lately, this one included.
    [[nodiscard]] std::size_t instances() const;

private:
    struct Peer
    {
        std::string address;
        std::string process;
        SteadyTime heard;
        /// How far its copies of the tables go.
        std::map<std::string, std::int64_t> versions;
        /// Since when each of them may have lacked something at its last report.
        std::map<std::string, std::chrono::milliseconds> ages;
        std::string dataCentre;
        /// Was heard directly, and has not been for a while.
        bool silent = true;
        std::shared_ptr<ExchangeChannel> channel;
    };

    LoadExchange(GatewayState &state, platform::StoreClient &store, StoreFollower &follower,
                 Hooks hooks);
    wire::Task<void> registerLoop();
    wire::Task<void> exchangeLoop();
    wire::Task<bool> registerSelf();
    wire::Task<bool> readInstances();
    void callPeers();
    /// Tells the others of this process what the overlay makes of this instance.
    void takeRole();
    void call(const std::string &name, Peer &peer);
    void noteUnanswered(const std::string &peer);
    void setAddress(const std::string &name, const std::string &address,
                    const serving::OverlayPeer &place);
    [[nodiscard]] exchange::v1::LoadReport ownReport() const;
    /// The report for one receiver, with the changes that its copies lack.
    [[nodiscard]] exchange::v1::LoadReport reportFor(const std::string &receiver,
                                                     bool asMember) const;
    /// Whether a peer's copy of a table is kept up to date in the peer's own data centre.
    [[nodiscard]] bool followsItself(const Peer &peer, const std::string &table) const;
    void addTable(const TableCopy &copy, const Peer *receiver,
                  exchange::v1::LoadReport &report) const;
    void takeTables(const exchange::v1::LoadReport &report, Peer &peer);
    void takeUsage(const exchange::v1::LoadReport &report);
    void take(const exchange::v1::LoadReport &report);
    /// Takes a peer's report and fills in the reply, if the peer still waits for one.
    void handleReport(const exchange::v1::LoadReport &report, exchange::v1::LoadReport *reply);
    /// What the sender, and those it speaks for, have at servers and have taken.
    void takeSums(const exchange::v1::LoadReport &report, SteadyTime now);
    void forgetSums(const std::string &peer);
    void markSilent();
    [[nodiscard]] std::string ownAddress() const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    StoreFollower &m_follower;
    Hooks m_hooks;
    std::unique_ptr<ExchangeServer> m_server;
    std::map<std::string, Peer> m_peers;
    serving::PeerCalls m_calls;
    /// The hub that told this instance of the fleet last.
    std::string m_hub;
    ReportBook m_book;
    /// The table has been read after the instances that start together had registered themselves.
    bool m_listSettled = false;
};

} // namespace snipestall::gateway
