#pragma once

#include "snipestall/entry/backend.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::peer {
class Membership;
}
namespace snipestall::platform {
class InstanceList;
}
namespace snipestall::wire {
class HttpClient;
}

namespace snipestall::entry {

class PolicyLoop;

struct BackendDirectoryOptions
{
    /// Time between two reads of the platform's instance list.
    std::chrono::milliseconds listInterval { 1000 };
    /// Time between two load polls of a backend server. Well under 3 s, because a leaving server
    /// must get no new work after that time.
    std::chrono::milliseconds loadInterval { 400 };
    /// Connect and idle timeout of one load poll.
    std::chrono::milliseconds loadTimeout { 800 };
    /// Number of consecutive failed polls after which a backend server counts as lost.
    int failedPollsUntilLost = 3;
};

/// Tracks the backend servers of this data centre and which of them this instance owns. Owners are
/// assigned by rendezvous hashing over the live members. The platform's list may be out of date, so
/// each owned server is polled directly several times a second. Once any source reports that an
/// incarnation is leaving, that incarnation stays marked as leaving permanently.
class BackendDirectory
{
public:
    using Options = BackendDirectoryOptions;

    BackendDirectory(boost::asio::io_context &io, platform::InstanceList &list,
                     wire::HttpClient &http, peer::Membership &members, PolicyLoop &policy,
                     Options options = {});
    ~BackendDirectory();

    void start();
    void stop();
    /// Recomputes which servers this instance owns. Must be called after each membership change.
    void reassign();

    /// Returns null if no known server has this handle.
    [[nodiscard]] const Backend *find(policy::ServerHandle handle) const;
    [[nodiscard]] const std::map<std::string, Backend> &backends() const { return m_backends; }

    /// All incarnations known to be leaving, for heartbeats.
    [[nodiscard]] std::vector<peer::LeavingServer> leavingServers() const;
    /// Marks an incarnation as leaving. `notice` is the time until the server stops; zero if
    /// unknown.
    void markLeaving(const std::string &server, std::uint64_t incarnation,
                     std::chrono::milliseconds notice);
    /// Polls an owned server immediately, without waiting for the next interval. Called when a call
    /// to the server has failed.
    void pollNow(policy::ServerHandle handle);
    /// Sets the callback that runs when an owned server comes up or a server is first known to be
    /// leaving, so that peers can be notified immediately instead of with the next heartbeat.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }
    /// Returns whether this instance owns a backend server of the service that is up and not
    /// leaving.
    [[nodiscard]] bool hasServerUp(const std::string &service) const;
    /// Sets the callback that runs when the platform's list marks this instance as leaving. It gets
    /// the time left until the instance stops.
    void onSelfLeaving(std::function<void(std::chrono::milliseconds)> callback)
    {
        m_onSelfLeaving = std::move(callback);
    }

private:
    wire::Task<void> listLoop();
    wire::Task<void> loadLoop();
    /// Reads the load of one server and updates its state.
    wire::Task<void> poll(std::string name);
    void applyInstanceList(const std::vector<platform::ListedInstance> &instances);
    void applyListedBackend(const platform::ListedInstance &listed);
    void applyLoad(Backend &backend, const boost::json::object &load);
    /// Marks the server as down and reports that to the policy.
    void lose(Backend &backend);
    /// Replaces the state of a server by that of a new incarnation.
    void replace(Backend &backend, const platform::ListedInstance &listed);
    [[nodiscard]] bool isKnownLeaving(const std::string &name, std::uint64_t incarnation) const;

    boost::asio::io_context &m_io;
    platform::InstanceList &m_list;
    wire::HttpClient &m_http;
    peer::Membership &m_members;
    PolicyLoop &m_policy;
    Options m_options;
    std::map<std::string, Backend> m_backends;
    /// Highest incarnation of each server that is known to be leaving, by server name.
    std::map<std::string, std::uint64_t> m_leaving;
    std::uint64_t m_nextHandle = 0;
    std::function<void()> m_onChange;
    std::function<void(std::chrono::milliseconds)> m_onSelfLeaving;
    /// False once the directory is stopped or destroyed; checked by coroutines that outlive it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace snipestall::entry
