#pragma once

#include "policy/harness/deployment.hpp"
#include "policy/harness/fake_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// A backend server that was started, alive or not.
struct FleetServer
{
    ServerHandle handle;
    std::string name;
    ServerGroup group;
    std::unique_ptr<FakeServer> fake;
    Time startedAt {};
    std::optional<Time> leavingSince;
    std::optional<Time> endedAt;

    [[nodiscard]] bool isAlive() const { return !endedAt.has_value(); }
};

/// The backend servers, and the cloud that replaces those that end.
class Fleet
{
public:
    using ServerAction = std::function<void(FleetServer &)>;

    Fleet(const Deployment &deployment, VirtualLoop &loop, ServerListener &listener);

    FleetServer &start(const ServerGroup &group);
    /// Returns how many instances of a group are starting.
    [[nodiscard]] std::uint32_t starting(const ServerGroup &group) const;
    /// Orders a server; returns false when the cloud refuses starts.
    bool order(const ServerGroup &group, const ServerAction &started);
    /// Starts a replacement after the start time of the service, or later while the cloud refuses
    /// starts.
    void replace(const ServerGroup &group, const ServerAction &started);
    void end(FleetServer &server);

    FleetServer *find(ServerHandle handle);
    std::vector<FleetServer *> alive(const std::string &service);
    [[nodiscard]] std::map<std::uint64_t, FleetServer> &all() { return m_servers; }
    [[nodiscard]] double cost() const;

    void setRefusesStarts(bool refuses) { m_refusesStarts = refuses; }
    [[nodiscard]] bool refusesStarts() const { return m_refusesStarts; }

private:
    void tryStart(const ServerGroup &group, const ServerAction &started);
    [[nodiscard]] double price(const ServerGroup &group) const;

    const Deployment &m_deployment;
    VirtualLoop &m_loop;
    ServerListener &m_listener;
    std::map<std::uint64_t, FleetServer> m_servers;
    std::uint64_t m_lastHandle = 0;
    std::map<std::string, std::uint32_t> m_starting;
    bool m_refusesStarts = false;
};

} // namespace snipestall::policy::harness
