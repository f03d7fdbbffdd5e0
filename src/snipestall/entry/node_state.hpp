#pragma once

#include "snipestall/base/system_clock.hpp"
#include "snipestall/entry/backend_directory.hpp"
#include "snipestall/entry/caller_api.hpp"
#include "snipestall/entry/crash_ledger.hpp"
#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/local_settings.hpp"
#include "snipestall/entry/node.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/peer_handler.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/peer/peer_server.hpp"
#include "snipestall/peer/record_keeper.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/peer/steward.hpp"
#include "snipestall/peer/table_maintenance.hpp"
#include "snipestall/platform/http_platform.hpp"
#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/http_server.hpp"

#include "trial_coordinator.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipestall::entry {

/// The components of a node, in the order in which they depend on each other, and the periodic
/// tasks that connect them.
struct Node::State final : public peer::PeerHandler,
                           public std::enable_shared_from_this<Node::State>
{
    using Notice = std::optional<std::chrono::milliseconds>;

    State(boost::asio::io_context &context, LocalSettings settings,
          std::uint64_t incarnationNumber);
    ~State() override;

    void connect();
    void start();
    void beginDrain(Notice notice, std::function<void()> done);

    peer::v1::HeartbeatReply onHeartbeat(const peer::v1::HeartbeatRequest &request) override;
    peer::v1::HoldReply onHold(const peer::v1::HoldRequest &request) override;
    peer::v1::TrialReply onTrial(const peer::v1::TrialRequest &request) override;
    peer::v1::HandoverReply onHandover(const peer::v1::HandoverRequest &request) override;
    peer::v1::SettingsDocument
    onFetchSettings(const peer::v1::FetchSettingsRequest &request) override;
    void onForward(const peer::v1::ForwardRequest &request,
                   std::shared_ptr<peer::ForwardSink> sink) override;
    void onFindRequest(const peer::v1::FindRequestRequest &request,
                       std::shared_ptr<peer::ForwardSink> sink) override;

    /// Takes over a request whose home is lost or has handed it over; this instance is its home
    /// from now on. `released` means that the former home handed it over.
    void takeOver(const peer::v1::RequestRecord &record, bool released);
    void onMemberChange(const peer::Member &member, peer::MemberState before);
    /// Reports the load of a peer to the policy.
    void reportPeerToPolicy(const std::string &name);
    /// Returns whether a live instance of this data centre owns a backend server of the service.
    [[nodiscard]] bool servedInDataCentre(const std::string &service) const;
    policy::PeerHandle handleOf(const std::string &name);
    /// Returns whether this instance is one of those that read the settings head every second.
    [[nodiscard]] bool pollsSettings() const;
    /// Number of claim writes per second that this instance may make.
    [[nodiscard]] double claimWriteLimit() const;
    [[nodiscard]] std::vector<peer::PoolLoad> ownPools() const;
    [[nodiscard]] bool idle() const;

    /// Registers this instance with the platform.
    wire::Task<void> registerLoop();
    wire::Task<void> settingsLoop();
    /// Removes expired state once a second.
    wire::Task<void> housekeepingLoop();
    wire::Task<void> drainLoop();
    wire::Task<void> handOverRemaining();

    boost::asio::io_context &io;
    LocalSettings local;
    std::uint64_t incarnation;
    SystemClock clock;
    wire::HttpClient http;
    std::unique_ptr<platform::HttpPlatform> platform;
    peer::SettingsStore store;
    peer::SettingsKeeper keeper;
    peer::Membership members;
    CrashLedger crashes;
    Dispatcher dispatcher;
    PolicyLoop policy;
    BackendDirectory backends;
    peer::PeerNetwork network;
    TrialCoordinator trials;
    peer::RecordKeeper records;
    std::unique_ptr<peer::ClaimKeeper> claims;
    std::unique_ptr<peer::Steward> steward;
    std::unique_ptr<peer::TableMaintenance> maintenance;
    RequestStore requests;
    CallerApi callers;
    std::unique_ptr<wire::HttpServer> callerServer;
    std::unique_ptr<peer::PeerServer> peerServer;

    std::map<std::string, policy::PeerHandle> peerHandles;
    std::uint64_t nextPeer = 0;
    bool draining = false;
    bool stopped = false;
    /// When the remaining requests are handed over; empty if the drain has no notice.
    std::optional<std::chrono::steady_clock::time_point> handOverAt;
    /// Called when the drain is complete.
    std::function<void()> onDrained;
    std::chrono::steady_clock::time_point lastSettingsRead;
};

} // namespace snipestall::entry
