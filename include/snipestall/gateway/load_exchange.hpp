#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/gateway/exchange_transport.hpp"
#include "snipestall/gateway/exchange_work.hpp"
#include "snipestall/gateway/report_book.hpp"
#include "snipestall/gateway/stream_exchange.hpp"
#include "snipestall/gateway/table_exchange.hpp"
#include "snipestall/serving/peer_calls.hpp"
#include "snipestall/serving/retry_allowance.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::platform {
class StoreClient;
}

namespace snipestall::gateway {

class StoreFollower;
struct GatewayState;

/// Exchanges reports with other instances several times a second: the load that this instance has
/// at each backend server and the units it has taken from each quota, and the same of the others.
/// serving::PeerCalls determines which instances call each other.
///
/// Each pair needs one call per interval: the call carries the reports of both sides, and whichever
/// instance is due first makes it. Instances find each other through a table in the store, which is
/// read rarely: a new instance calls all others itself.
class LoadExchange
{
public:
    /// `holdsLease` returns whether this instance holds the lease and so acts on behalf of all.
    /// `holderReported` is called when a peer reports that it holds the lease. `setCandidate` is
    /// called with whether this instance is one of the few that compete for the lease.
    /// `streamUnknown` is called when a peer asks for a stream that this instance does not know.
    struct Hooks
    {
        std::function<bool()> holdsLease;
        std::function<void()> holderReported;
        std::function<void(bool)> setCandidate;
        std::function<void()> streamUnknown;
    };

    static Result<std::unique_ptr<LoadExchange>>
    create(GatewayState &state, platform::StoreClient &store, StoreFollower &follower, Hooks hooks);
    ~LoadExchange();

    void start();
    /// Removes the entry of this instance from the store.
    wire::Task<void> leave();
    /// Number of instances that have reported recently, directly or through another one; this one
    /// included.
    [[nodiscard]] std::size_t instances() const;
    /// The lowest number of a stage of a service's rollout that the other instances in contact
    /// follow.
    [[nodiscard]] std::uint64_t rolloutFollowedByAll(const std::string &service) const;
    /// Whether this instance keeps the records of all streams.
    [[nodiscard]] bool holdsRecords();
    /// Whether other instances use this one as their hub.
    [[nodiscard]] bool hasMembers() const;
    /// The other instances that keep the records of all streams, in the order in which they are to
    /// be asked.
    [[nodiscard]] std::vector<std::string> recordHolders();
    /// Asks an instance for the origin of a stream. Calls `done` on the I/O loop within about
    /// `timeout`.
    void findStream(const std::string &instance, std::uint64_t key,
                    std::chrono::milliseconds timeout,
                    ExchangeChannel::Done<exchange::v1::StreamAnswer> done) const;

private:
    struct Peer
    {
        std::string address;
        std::string process;
        /// Time at which this process of the peer first reported.
        SteadyTime processKnownSince;
        SteadyTime lastReportAt;
        /// Credits for repeats at the last report.
        serving::RetryLevels retryLevels;
        bool takesRetryGrants = false;
        /// Set while the peer has not reported to this instance recently.
        bool silent = true;
        std::shared_ptr<ExchangeChannel> channel;
    };

    LoadExchange(GatewayState &state, platform::StoreClient &store, StoreFollower &follower,
                 Hooks hooks);
    wire::Task<void> registerLoop();
    wire::Task<void> exchangeLoop();
    wire::Task<bool> registerSelf();
    wire::Task<bool> readInstances();
    /// Tells those who share something among the instances which instances there are.
    void setInstances();
    void callPeers();
    /// Applies the role that the overlay gives to this instance: reader of the store, candidate for
    /// the lease.
    void applyRole();
    void call(const std::string &name, Peer &peer);
    void handleUnanswered(const std::string &peer);
    void recordSent(const exchange::v1::LoadReport &report);
    void recordAnswer(const Result<const exchange::v1::LoadReport *> &answer,
                      SteadyTime::duration passed);
    void logWork(SteadyTime now);
    void updatePeer(const std::string &name, const std::string &address,
                    const serving::OverlayPeer &overlayPeer, std::uint32_t forwardPort);
    [[nodiscard]] exchange::v1::LoadReport ownReport() const;
    /// The report for one receiver, with the changes that its copies of tables lack.
    [[nodiscard]] exchange::v1::LoadReport reportFor(const std::string &receiver, bool asMember);
    void applyTables(const exchange::v1::LoadReport &report);
    void applyChanges(const std::string &table, const std::string &peer,
                      const TableChanges &changes);
    /// Requests the changes that peers offer to be fetched.
    void fetchChanges();
    void requestChanges(const TableExchange::Request &request);
    void answerChanges(const exchange::v1::ChangesRequest &request,
                       exchange::v1::ChangesAnswer *answer);
    void applyUsage(const exchange::v1::LoadReport &report);
    void addRollouts(exchange::v1::LoadReport &report) const;
    void applyRollouts(const exchange::v1::LoadReport &report);
    void addCrashes(const Peer &receiver, exchange::v1::LoadReport &report) const;
    void applyCrashes(const exchange::v1::LoadReport &report);
    void addRetryLevels(exchange::v1::LoadReport &report) const;
    /// Hands over credits for repeats to a peer that has few.
    void addRetryGrants(const Peer &receiver, exchange::v1::LoadReport &report);
    void applyRetryCredits(const exchange::v1::LoadReport &report, Peer &peer);
    void updateRetryShare();
    void addLeavingServers(exchange::v1::LoadReport &report) const;
    void applyLeavingServers(const exchange::v1::LoadReport &report);
    void addServerLimits(exchange::v1::LoadReport &report) const;
    void applyServerLimits(const exchange::v1::LoadReport &report);
    void addCutOffs(exchange::v1::LoadReport &report) const;
    void applyCutOffs(const exchange::v1::LoadReport &report);
    void addRejectionReports(exchange::v1::LoadReport &report) const;
    void applyRejectionReports(const exchange::v1::LoadReport &report);
    void processReport(const exchange::v1::LoadReport &report);
    /// Processes a report of a peer and fills in the reply if the peer still waits for one.
    void handleReport(const exchange::v1::LoadReport &report, exchange::v1::LoadReport *reply);
    /// Takes over the loads and quota totals of the sender and of the instances whose reports it
    /// sums.
    void applyTotals(const exchange::v1::LoadReport &report, SteadyTime now);
    void forgetTotals(const std::string &peer);
    void markSilent();
    [[nodiscard]] std::string ownAddress() const;

    GatewayState &m_state;
    platform::StoreClient &m_store;
    StoreFollower &m_follower;
    Hooks m_hooks;
    std::unique_ptr<ExchangeServer> m_server;
    std::map<std::string, Peer> m_peers;
    /// Data centres of the registered instances and of those that have reported since the table was
    /// read, this one included; empty before the first read.
    std::map<std::string, std::string> m_instances;
    serving::PeerCalls m_calls;
    /// The hub whose report on the whole fleet arrived last.
    std::string m_hub;
    ReportBook m_book;
    TableExchange m_tables;
    StreamExchange m_streams;
    ExchangeWork m_work;
    SteadyTime m_nextWorkLog;
    /// Whether the table of instances has been read after the instances that start together had
    /// registered themselves.
    bool m_listSettled = false;
};

} // namespace snipestall::gateway
