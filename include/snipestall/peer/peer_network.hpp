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

/// A backend server that leaves, for the sticky word that peers pass on.
struct LeavingServer
{
    std::string server;
    std::uint64_t incarnation = 0;
};

struct PeerNetworkOptions
{
    std::chrono::milliseconds interval { 1000 };
    std::chrono::milliseconds timeout { 800 };
    /// Members of each other data centre that this instance exchanges heartbeats with.
    std::size_t linksPerDataCentre = 2;
    /// Where this instance listens for peers, told in each heartbeat: a peer that was first heard
    /// of by its own call can be called back while the platform's list is down.
    std::string ownAddress {};
};

/// Channels to peers and the heartbeats on them: each member of the own data centre once an
/// interval (either side's call serves both), a few of each other one. Newer settings that a peer
/// has are fetched at once, so that a data centre cut from the platform still hears of them.
class PeerNetwork
{
public:
    /// What the entry layer adds to and takes from heartbeats.
    struct Hooks
    {
        std::function<std::vector<PoolLoad>()> pools;
        std::function<std::vector<LeavingServer>()> leavingServers;
        std::function<void(const LeavingServer &)> onLeavingServer;
        std::function<std::vector<CrashReport>()> crashes;
        std::function<void(const CrashReport &)> onCrash;
        /// A peer's state has just been taken in.
        std::function<void(const std::string &name)> onHeard;
    };

    PeerNetwork(boost::asio::io_context &io, Membership &members, SettingsKeeper &settings,
                std::uint64_t incarnation, Hooks hooks, PeerNetworkOptions options = {});
    ~PeerNetwork();

    void start();
    void stop();
    /// A heartbeat to all at once: for news that can't wait, such as a notice.
    void announce();

    /// The channel to a member; null if its address is unknown.
    PeerClient *client(const std::string &name);
    /// The receiving side.
    v1::HeartbeatReply onHeartbeat(const v1::HeartbeatRequest &request);

private:
    wire::Task<void> loop();
    wire::Task<void> exchange(std::string name);
    wire::Task<void> fetchSettings(std::string name);
    void round(bool all);
    [[nodiscard]] std::vector<std::string> targets() const;
    v1::HeartbeatRequest makeHeartbeat() const;
    template<typename Message>
    void takeIn(const Message &message, const Heartbeat &heartbeat);

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
