#include "policy/harness/cluster.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReportPeriod = 5s;
/// Delay between an order to the cloud and its refusal.
constexpr Duration StartRefusalDelay = 200ms;
constexpr Duration ReleaseNotice = 60s;
constexpr Duration ReleaseCheckInterval = 500ms;

bool isOf(const FleetServer &server, const std::string &dataCentre,
          const std::string &instanceClass)
{
    return server.group.dataCentre == dataCentre && server.group.instanceClass == instanceClass
        && !server.leavingSince;
}

} // namespace

void Cluster::carryOut(EntryNode &node, const StartInstance &command)
{
    if (!m_options.policyManagesCapacity || &node != &steward(command.dataCentre)) {
        return;
    }
    const ServerGroup group { command.service, command.dataCentre, command.instanceClass, 1 };
    const bool accepted = m_fleet.order(group, [this](FleetServer &fresh) {
        announce(fresh);
        reportCapacity();
    });
    if (accepted) {
        reportCapacity();
        return;
    }
    const StartRefused refused { command.service, command.dataCentre, command.instanceClass };
    m_loop.after(StartRefusalDelay, [&node, refused] { node.post(refused); });
}

void Cluster::carryOut(EntryNode &node, const ReleaseInstance &command)
{
    if (!m_options.policyManagesCapacity || &node != &steward(command.dataCentre)) {
        return;
    }
    FleetServer *least = nullptr;
    for (auto *server : m_fleet.alive(command.service)) {
        const bool fits = isOf(*server, command.dataCentre, command.instanceClass);
        if (fits && (!least || server->fake->running() < least->fake->running())) {
            least = server;
        }
    }
    if (least) {
        const std::vector<FleetServer *> leaving { least };
        reclaim(leaving, ReleaseNotice);
        release(*least);
        reportCapacity();
    }
}

/// Ends a released instance as soon as it is idle.
void Cluster::release(FleetServer &server)
{
    m_loop.after(ReleaseCheckInterval, [this, &server] {
        if (!server.isAlive()) {
            return;
        }
        if (server.fake->running() + server.fake->queued() == 0) {
            loseServer(server);
            return;
        }
        release(server);
    });
}

EntryNode &Cluster::steward(const std::string &dataCentre)
{
    return **std::ranges::find_if(
        m_nodes, [&dataCentre](const auto &node) { return node->dataCentre() == dataCentre; });
}

void Cluster::repeatCapacityReports()
{
    m_demand.finishPeriod(ReportPeriod);
    reportCapacity();
    m_loop.after(ReportPeriod, [this] { repeatCapacityReports(); });
}

void Cluster::reportCapacity()
{
    for (const auto &dataCentre : m_deployment.dataCentres) {
        steward(dataCentre).post(capacityOf(dataCentre));
    }
}

CapacityReport Cluster::capacityOf(const std::string &dataCentre)
{
    CapacityReport report;
    std::set<std::string> services;
    for (const auto &group : m_deployment.groups) {
        if (group.dataCentre != dataCentre) {
            continue;
        }
        const auto alive = m_fleet.alive(group.service);
        const auto count = std::ranges::count_if(alive, [&group](const FleetServer *server) {
            return isOf(*server, group.dataCentre, group.instanceClass);
        });
        const auto alreadyRunning = static_cast<std::uint32_t>(count);
        services.insert(group.service);
        report.groups.push_back({ group.service, dataCentre, group.instanceClass, alreadyRunning,
                                  m_fleet.starting(group) });
    }
    for (const auto &service : services) {
        const auto rate = m_demand.rate(dataCentre, service);
        report.demand.push_back(
            { service, rate.asked, rate.perBusyServer(), queuedIn(dataCentre, service) });
    }
    return report;
}

std::uint32_t Cluster::queuedIn(const std::string &dataCentre, const std::string &service) const
{
    std::uint32_t queued = 0;
    for (const auto &node : m_nodes) {
        if (node->dataCentre() != dataCentre) {
            continue;
        }
        for (const auto &pool : node->summaries()) {
            queued += pool.service == service ? pool.queued : 0;
        }
    }
    return queued;
}

} // namespace snipestall::policy::harness
