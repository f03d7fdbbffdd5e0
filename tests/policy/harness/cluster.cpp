#include "policy/harness/cluster.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReportPeriod = 1s;
constexpr Duration SummaryPeriod = 1s;
/// Delay until every instance knows which servers it owns.
constexpr Duration FirstSummaryDelay = 10ms;

} // namespace

Cluster::Cluster(Deployment deployment, ClusterOptions options)
    : m_deployment(std::move(deployment))
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_fleet(m_deployment, m_loop, *this)
{
    for (const auto &dataCentre : m_deployment.dataCentres) {
        for (std::uint32_t i = 0; i < m_deployment.entriesPerDataCentre; ++i) {
            const auto index = m_nodes.size();
            m_nodes.push_back(std::make_unique<EntryNode>(
                index, dataCentre + "-entry-" + std::to_string(i), dataCentre,
                m_options.factory(dataCentre, m_random.next()), m_loop, *this));
        }
    }
    setSettings(m_deployment.settings);
    for (const auto &group : m_deployment.groups) {
        for (std::uint32_t i = 0; i < group.count; ++i) {
            announce(m_fleet.start(group));
        }
    }
    reportLoad();
    m_loop.after(FirstSummaryDelay, [this] { exchangeSummaries(); });
    if (m_options.policyManagesCapacity) {
        repeatCapacityReports();
    }
}

void Cluster::setSettings(const settings::EffectiveSettings &settings)
{
    m_deployment.settings = settings;
    for (const auto &node : m_nodes) {
        auto view = std::make_shared<settings::EffectiveSettings>(settings);
        view->dataCentre = node->dataCentre();
        node->post(SettingsChanged { std::move(view) });
    }
}

void Cluster::submit(CallIndex index)
{
    auto &node = *m_nodes[m_random.below(m_nodes.size())];
    const auto handle = node.addRequest({ .call = index });
    m_homes[index] = { node.index(), handle };
    m_demand.countAsked(m_ledger.calls[index], node.dataCentre());
    node.post(arrival(m_ledger.calls[index], handle));
}

void Cluster::cancel(CallIndex index)
{
    const auto [node, handle] = m_homes.at(index);
    finish(index, Outcome::Cancelled);
    m_nodes[node]->post(RequestCancelled { handle });
}

void Cluster::run(Time end)
{
    m_loop.runUntil(end);
    m_ledger.cost = m_fleet.cost();
}

void Cluster::reclaim(std::span<FleetServer *const> servers, Duration notice)
{
    for (auto *server : servers) {
        server->leavingSince = m_loop.now();
        deliver(*server, ServerLeaving { server->handle, notice });
        m_loop.after(notice, [this, server] { loseServer(*server); });
    }
}

void Cluster::announce(FleetServer &server)
{
    const auto &model = m_deployment.model(server.group.service);
    ServerUp up;
    up.server = server.handle;
    up.service = server.group.service;
    up.dataCentre = server.group.dataCentre;
    up.instanceClass = server.group.instanceClass;
    up.slots = model.slots;
    up.models = { server.group.service };
    deliver(server, up);
}

void Cluster::deliver(const FleetServer &server, const Event &event)
{
    std::vector<std::string> names;
    for (const auto &node : m_nodes) {
        if (node->dataCentre() == server.group.dataCentre) {
            names.push_back(node->name());
        }
    }
    const auto owner = rendezvousPick(server.name, names);
    for (const auto &node : m_nodes) {
        if (m_options.eventRecipients == EventRecipients::AllInstances || node->name() == owner) {
            node->post(event);
        }
    }
}

void Cluster::loseServer(FleetServer &server)
{
    if (!server.isAlive()) {
        return;
    }
    m_fleet.end(server);
    // Deferred, so that the instances receive the ends of its attempts before the loss of the
    // server.
    m_loop.after(m_deployment.betweenDelay,
                 [this, &server] { deliver(server, ServerGone { server.handle }); });
    if (m_options.policyManagesCapacity) {
        reportCapacity();
        return;
    }
    m_fleet.replace(server.group, [this](FleetServer &fresh) { announce(fresh); });
}

void Cluster::reportLoad()
{
    for (const auto &[handle, server] : m_fleet.all()) {
        if (!server.isAlive()) {
            continue;
        }
        const double slots = server.fake->model().slots;
        m_demand.countBusy(server.group.dataCentre, server.group.service,
                           server.fake->running() / slots, ReportPeriod);
        const ServerReport report { server.handle, server.fake->running(), server.fake->queued(),
                                    m_options.reportLag };
        m_loop.after(m_options.reportLag, [this, report] {
            if (const auto *found = m_fleet.find(report.server); found->isAlive()) {
                deliver(*found, report);
            }
        });
    }
    m_loop.after(ReportPeriod, [this] { reportLoad(); });
}

void Cluster::exchangeSummaries()
{
    if (m_options.eventRecipients == EventRecipients::AllInstances) {
        return;
    }
    for (const auto &from : m_nodes) {
        const PeerSummary summary { PeerHandle { from->index() + 1 }, from->name(),
                                    from->dataCentre(), from->summaries() };
        for (const auto &to : m_nodes) {
            if (to != from) {
                m_loop.after(delay(from->dataCentre(), to->dataCentre()),
                             [&node = *to, summary] { node.post(summary); });
            }
        }
    }
    m_loop.after(SummaryPeriod, [this] { exchangeSummaries(); });
}

Duration Cluster::delay(const std::string &from, const std::string &to) const
{
    return from == to ? m_deployment.insideDelay : m_deployment.betweenDelay;
}

RequestArrived Cluster::arrival(const Call &call, RequestHandle handle) const
{
    RequestArrived arrived;
    arrived.request = handle;
    arrived.customer = call.customer;
    arrived.service = call.service;
    arrived.urgency = call.urgency;
    arrived.promptTokens = call.promptTokens;
    arrived.maxTokens = call.outputTokens;
    arrived.deadline = call.deadline;
    arrived.idempotent = call.idempotent;
    arrived.prefix = call.prefix;
    arrived.fingerprint = call.fingerprint;
    const auto crashes = m_crashesOf.find(call.fingerprint);
    arrived.crashes = crashes == m_crashesOf.end() ? 0 : crashes->second;
    arrived.resumeOffset = call.produced;
    return arrived;
}

void Cluster::onCacheChanged(ServerHandle server, std::span<const PrefixCache::Change> changes)
{
    for (const auto &change : changes) {
        if (m_random.uniform() < m_options.cacheEventLoss) {
            continue;
        }
        const CacheChanged event { server, change.block, change.present };
        m_loop.after(m_options.cacheEventLag, [this, event] {
            if (const auto *found = m_fleet.find(event.server); found->isAlive()) {
                deliver(*found, event);
            }
        });
    }
}

void Cluster::onCrashed(ServerHandle handle)
{
    ++m_ledger.serversCrashed;
    loseServer(*m_fleet.find(handle));
}

} // namespace snipestall::policy::harness
