#pragma once

#include "snipestall/peer/crash_report.hpp"
#include "snipestall/peer/messages.hpp"
#include "snipestall/peer/pool_load.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::peer {

class Membership;
class PeerClient;
class SettingsKeeper;
struct Heartbeat;

/// A backend server that is leaving. Peers pass this on in heartbeats, and it is permanent for the
/// incarnation.
struct LeavingServer
{
    std::string server;
    std::uint64_t incarnation = 0;
};

/// Timing and reach of heartbeats.
struct PeerNetworkOptions
{
    std::chrono::milliseconds interval { 1000 };
    /// Timeout of one heartbeat call.
    std::chrono::milliseconds timeout { 800 };
    /// Members of each other data centre that this instance exchanges heartbeats with.
    std::size_t linksPerDataCentre = 2;
    /// Address at which this instance listens for peers. It is sent in each heartbeat, so that a
    /// receiver that did not know this instance can call it back while the platform's list is down.
    std::string ownAddress {};
};

/// Channels to peers and the heartbeats on them. Heartbeats are exchanged once an interval with
/// each member of this instance's data centre (a call of either side serves both) and with a few
/// members of each other data centre. Newer settings that a peer has are fetched at once, so that a
/// data centre without a connection to the platform still receives them.
class PeerNetwork
{
public:
    /// Callbacks by which the entry layer supplies and receives the contents of heartbeats.
    struct Hooks
    {
        std::function<std::vector<PoolLoad>()> pools;
        std::function<std::vector<LeavingServer>()> leavingServers;
        std::function<void(const LeavingServer &)> onLeavingServer;
        std::function<std::vector<CrashReport>()> crashes;
        std::function<void(const CrashReport &)> onCrash;
        /// Called after the state in a peer's heartbeat or reply has been applied.
        std::function<void(const std::string &name)> onHeartbeatApplied;
    };

    PeerNetwork(boost::asio::io_context &io, Membership &members, SettingsKeeper &settings,
                std::uint64_t incarnation, Hooks hooks, PeerNetworkOptions options = {});
    ~PeerNetwork();

    void start();
    void stop();
    /// Sends a heartbeat to all targets at once, for changes that can't wait for the next interval,
    /// such as a notice.
    void announce();

    /// The client for a member, or null if its address is unknown.
    PeerClient *client(const std::string &name);
    /// Handles a heartbeat of a peer.
    v1::HeartbeatReply onHeartbeat(const v1::HeartbeatRequest &request);

private:
    wire::Task<void> heartbeatLoop();
    wire::Task<void> exchange(std::string name);
    wire::Task<void> fetchSettings(std::string name);
    void sendHeartbeats(bool all);
    [[nodiscard]] std::vector<std::string> targets() const;
    v1::HeartbeatRequest makeHeartbeat() const;
    template<typename Message>
    void applyHeartbeat(const Message &message, const Heartbeat &heartbeat);

    boost::asio::io_context &m_io;
    Membership &m_members;
    SettingsKeeper &m_settings;
    std::uint64_t m_incarnation;
    Hooks m_hooks;
    PeerNetworkOptions m_options;
    struct Channel;
    std::map<std::string, std::unique_ptr<Channel>> m_channels;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_fetching = false;
};

} // namespace snipestall::peer
