#include "policy/scenario/stage.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipestall::policy::harness {

Stage::Stage(Cluster &cluster, Callers &callers, std::uint64_t seed)
    : m_cluster(cluster)
    , m_callers(callers)
    , m_random(seed)
{ }

void Stage::reclaimFraction(double fraction, Duration notice)
{
    const auto all = m_cluster.fleet().alive(m_cluster.deployment().modelService);
    const auto servers =
        pick(static_cast<std::size_t>(std::lround(fraction * static_cast<double>(all.size()))));
    m_cluster.reclaim(servers, notice);
}

void Stage::reclaimDataCentre(std::size_t number, Duration notice)
{
    const auto &deployment = m_cluster.deployment();
    const auto &dataCentre = deployment.dataCentres.at(number);
    std::vector<FleetServer *> servers;
    for (const auto &service : { deployment.modelService, deployment.plainService }) {
        for (auto *server : m_cluster.fleet().alive(service)) {
            if (server->group.dataCentre == dataCentre) {
                servers.push_back(server);
            }
        }
    }
    m_cluster.reclaim(servers, notice);
}

void Stage::refuseStarts(Duration length)
{
    m_cluster.fleet().setRefusesStarts(true);
    m_cluster.loop().after(length, [this] { m_cluster.fleet().setRefusesStarts(false); });
}

void Stage::slow(std::size_t servers, double factor, Duration length)
{
    for (auto *server : pick(servers)) {
        server->fake->setSlowFactor(factor);
        m_cluster.loop().after(length, [server] { server->fake->setSlowFactor(1); });
    }
}

void Stage::failFast(std::size_t servers, Duration length)
{
    for (auto *server : pick(servers)) {
        server->fake->setFailsFast(true);
        m_cluster.loop().after(length, [server] { server->fake->setFailsFast(false); });
    }
}

void Stage::limitLargestCustomer(double requestsPerSecond)
{
    auto settings = m_cluster.deployment().settings;
    ++settings.version;
    for (auto &leaf : settings.leaves) {
        const bool isLimited = leaf.customer == largestCustomer()
            && leaf.service == m_cluster.deployment().modelService;
        leaf.requestsPerSecond = isLimited ? requestsPerSecond : leaf.requestsPerSecond;
    }
    m_cluster.setSettings(settings);
}

const std::string &Stage::largestCustomer() const
{
    const auto &customers = m_cluster.deployment().customers;
    return std::ranges::max_element(customers, {}, &CustomerShare::demand)->name;
}

std::vector<FleetServer *> Stage::pick(std::size_t count)
{
    auto servers = m_cluster.fleet().alive(m_cluster.deployment().modelService);
    for (std::size_t i = servers.size(); i > 1; --i) {
        std::swap(servers[i - 1], servers[m_random.below(i)]);
    }
    servers.resize(std::min(count, servers.size()));
    return servers;
}

} // namespace snipestall::policy::harness
