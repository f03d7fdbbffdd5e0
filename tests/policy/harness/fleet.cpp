#include "policy/harness/fleet.hpp"

#include "policy/harness/virtual_loop.hpp"

#include <algorithm>

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

constexpr Duration StartRetryInterval = 5s;

std::string keyOf(const ServerGroup &group)
{
    return group.service + "/" + group.dataCentre + "/" + group.instanceClass;
}

} // namespace

Fleet::Fleet(const Deployment &deployment, VirtualLoop &loop, ServerListener &listener)
    : m_deployment(deployment)
    , m_loop(loop)
    , m_listener(listener)
{ }

FleetServer &Fleet::start(const ServerGroup &group)
{
    const ServerHandle handle { ++m_lastHandle };
    auto &server = m_servers[handle.value];
    server.handle = handle;
    server.name = group.service + "-" + std::to_string(handle.value);
    server.group = group;
    server.fake =
        std::make_unique<FakeServer>(handle, m_deployment.model(group.service), m_loop, m_listener);
    server.startedAt = m_loop.now();
    return server;
}

std::uint32_t Fleet::starting(const ServerGroup &group) const
{
    const auto found = m_starting.find(keyOf(group));
    return found == m_starting.end() ? 0 : found->second;
}

bool Fleet::order(const ServerGroup &group, const ServerAction &started)
{
    if (m_refusesStarts) {
        return false;
    }
    ++m_starting[keyOf(group)];
    m_loop.after(m_deployment.settings.service(group.service)->startTime, [this, group, started] {
        --m_starting[keyOf(group)];
        started(start(group));
    });
    return true;
}

void Fleet::replace(const ServerGroup &group, const ServerAction &started)
{
    const auto *service = m_deployment.settings.service(group.service);
    m_loop.after(service->startTime, [this, group, started] { tryStart(group, started); });
}

void Fleet::tryStart(const ServerGroup &group, const ServerAction &started)
{
    if (!m_refusesStarts) {
        started(start(group));
        return;
    }
    m_loop.after(StartRetryInterval, [this, group, started] { tryStart(group, started); });
}

void Fleet::end(FleetServer &server)
{
    server.endedAt = m_loop.now();
    server.fake->endAllWork();
}

FleetServer *Fleet::find(ServerHandle handle)
{
    const auto found = m_servers.find(handle.value);
    return found == m_servers.end() ? nullptr : &found->second;
}

std::vector<FleetServer *> Fleet::alive(const std::string &service)
{
    std::vector<FleetServer *> servers;
    for (auto &[handle, server] : m_servers) {
        if (server.isAlive() && server.group.service == service) {
            servers.push_back(&server);
        }
    }
    return servers;
}

double Fleet::cost() const
{
    double total = 0;
    for (const auto &[handle, server] : m_servers) {
        const auto alive = server.endedAt.value_or(m_loop.now()) - server.startedAt;
        total +=
            price(server.group) * std::chrono::duration<double, std::ratio<3600>>(alive).count();
    }
    return total;
}

double Fleet::price(const ServerGroup &group) const
{
    const auto &classes = m_deployment.settings.classes;
    const auto found = std::ranges::find_if(classes, [&group](const auto &entry) {
        return entry.dataCentre == group.dataCentre && entry.name == group.instanceClass;
    });
    return found == classes.end() ? 0 : found->pricePerHour;
}

} // namespace snipestall::policy::harness
