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
    std::chrono::milliseconds listInterval { 1000 };
    /// Well under the 3 s after which a leaving backend server must get no new work.
    std::chrono::milliseconds loadInterval { 400 };
    std::chrono::milliseconds loadTimeout { 800 };
    /// Polls in a row that must fail before a backend server counts as lost.
    int failedPollsToLose = 3;
};

/// The backend servers of this data centre, and which of them this instance owns: rendezvous over
/// the live members. The platform's list is a hint that lags; each owned server is asked itself,
/// several times a second, and a word of leaving, from whomever it comes, holds for that
/// incarnation for good.
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
    /// After each change of the members.
    void reassign();

    [[nodiscard]] const Backend *find(policy::ServerHandle handle) const;
    [[nodiscard]] const std::map<std::string, Backend> &backends() const { return m_backends; }

    /// The sticky word, for heartbeats.
    [[nodiscard]] std::vector<peer::LeavingServer> leavingServers() const;
    void markLeaving(const std::string &server, std::uint64_t incarnation,
                     std::chrono::milliseconds notice);
    /// A connection to it was refused: it is asked at once instead of at its turn.
    void suspect(policy::ServerHandle handle);
    /// Runs when a server has come up here, or its leaving is first heard of: peers are told at
    /// once instead of with the next heartbeat.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }
    /// Whether a backend server of the service is up that this instance owns.
    [[nodiscard]] bool hasUp(const std::string &service) const;
    /// Runs when the platform's list names this very instance as leaving.
    void onSelfLeaving(std::function<void(std::chrono::milliseconds)> callback)
    {
        m_onSelfLeaving = std::move(callback);
    }

private:
    wire::Task<void> listLoop();
    wire::Task<void> loadLoop();
    wire::Task<void> poll(std::string name);
    void takeIn(const std::vector<platform::ListedInstance> &instances);
    void takeInBackend(const platform::ListedInstance &listed);
    void takeInLoad(Backend &backend, const boost::json::object &load);
    void lose(Backend &backend);
    void replace(Backend &backend, const platform::ListedInstance &listed);
    [[nodiscard]] bool knownLeaving(const std::string &name, std::uint64_t incarnation) const;

    boost::asio::io_context &m_io;
    platform::InstanceList &m_list;
    wire::HttpClient &m_http;
    peer::Membership &m_members;
    PolicyLoop &m_policy;
    Options m_options;
    std::map<std::string, Backend> m_backends;
    /// Greatest incarnation of each server known to be leaving.
    std::map<std::string, std::uint64_t> m_leaving;
    std::uint64_t m_nextHandle = 0;
    std::function<void()> m_onChange;
    std::function<void(std::chrono::milliseconds)> m_onSelfLeaving;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace snipestall::entry
