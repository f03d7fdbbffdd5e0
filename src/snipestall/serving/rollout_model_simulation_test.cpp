// The model that rollout_model.hpp declares; its cases are in rollout_model_test.cpp.

#include "snipestall/serving/rollout_model.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <iostream>

namespace snipestall::serving {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr int RollbackAnswers = 50;
constexpr milliseconds LeaseLength { 3000 };
constexpr auto Service = "pool";
/// Routes with their parts of the requests; the last one carries plain calls.
struct ModelRoute
{
    const char *name;
    double part;
    bool isStream;
    double normalFailures;
};
constexpr std::array<ModelRoute, 4> Routes { { { "long", 0.2, true, 0.004 },
                                               { "short", 0.45, true, 0.004 },
                                               { "digest", 0.28, true, 0.004 },
                                               { "call", 0.07, false, 0.1 } } };

} // namespace

RolloutModel::RolloutModel(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_order { Service, "v2", m_options.duration, 7 }
    , m_instances(m_options.instances)
    , m_groups(std::min<std::size_t>(m_options.instances, 12))
    , m_series(m_groups.size(), 1)
    , m_holders(2)
{
    for (int i = 0; i < m_options.oldServers; ++i)
        m_servers.push_back({ 0, false });
    for (int i = 0; i < m_options.newServers; ++i)
        m_servers.push_back({ 0, true });
    for (Instance &instance : m_instances) {
        instance.view.serverListed(Service, "v1", m_now);
        instance.view.orderReceived(m_order);
    }
    m_holders[1].instance = 1;
    m_stored.order = m_order.id;
    m_stored.version = m_order.version;
}

milliseconds RolloutModel::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(m_now - m_start);
}

bool RolloutModel::isUp(const Instance &instance) const
{
    return m_now >= instance.downUntil;
}

bool RolloutModel::storeAnswers() const
{
    const RolloutTrouble &trouble = m_options.trouble;
    return trouble.kind != RolloutTrouble::Kind::StoreSilent || elapsed() < trouble.at
        || elapsed() >= trouble.at + trouble.length;
}

bool RolloutModel::applies(const VersionFault &fault, const Server &server,
                           const std::string &route) const
{
    return elapsed() >= fault.from && elapsed() < fault.until
        && server.inFlight >= fault.minInFlight && (fault.route.empty() || fault.route == route);
}

milliseconds RolloutModel::delay()
{
    // Two hops, each of which waits up to an interval of the exchange.
    return milliseconds(100 + static_cast<std::int64_t>(m_random.below(500)));
}

double RolloutModel::normalLatency(bool isStream)
{
    const double spread =
        std::exp(0.5 * (m_random.uniform() + m_random.uniform() + m_random.uniform() - 1.5) * 2);
    return (isStream ? 120 : 18) * spread;
}

void RolloutModel::beginTrouble()
{
    const RolloutTrouble &trouble = m_options.trouble;
    if (m_troubleBegun || trouble.kind == RolloutTrouble::Kind::None || elapsed() < trouble.at)
        return;
    m_troubleBegun = true;
    Instance &holder = m_instances[m_holders[m_holder].instance];
    switch (trouble.kind) {
    case RolloutTrouble::Kind::HolderKilled:
    case RolloutTrouble::Kind::HolderFrozen:
        holder.downUntil = m_now + trouble.length;
        m_leaseFrom = m_now + LeaseLength;
        m_holder = 1;
        break;
    case RolloutTrouble::Kind::HolderCutOff:
        holder.cutOff = true;
        m_leaseFrom = m_now + LeaseLength;
        m_holder = 1;
        break;
    case RolloutTrouble::Kind::AllKilled:
        for (Instance &instance : m_instances) {
            instance = Instance();
            instance.downUntil = m_now + trouble.length;
            instance.view.serverListed(Service, "v1", m_now);
            instance.view.orderReceived(m_order);
        }
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            m_groups[i] = FleetTotals();
            ++m_series[i];
        }
        for (Holder &each : m_holders) {
            each.totals = FleetTotals();
            each.judge = RolloutJudge();
            each.plan.reset();
        }
        m_reports.clear();
        m_messages.clear();
        m_running.clear();
        for (Server &server : m_servers)
            server.inFlight = 0;
        m_leaseFrom = m_now + LeaseLength;
        break;
    default:
        break;
    }
}

void RolloutModel::arrive()
{
    const LoadChange &load = m_options.load;
    const double factor = elapsed() >= load.from && elapsed() < load.until ? load.factor : 1;
    const double perTick =
        factor * m_options.requestsPerSecond * std::chrono::duration<double>(Tick).count();
    for (double left = perTick; left > 0; left -= 1) {
        if (m_random.uniform() >= left)
            continue;
        const std::size_t instance = m_random.below(m_instances.size());
        double at = m_random.uniform();
        const ModelRoute *route = &Routes.back();
        for (const ModelRoute &each : Routes) {
            at -= each.part;
            if (at >= 0)
                continue;
            route = &each;
            break;
        }
        if (isUp(m_instances[instance]))
            send(instance, route->name, route->isStream);
    }
}

void RolloutModel::send(std::size_t instance, const std::string &route, bool isStream)
{
    const RolloutView &view = m_instances[instance].view;
    RolloutCounter counter(m_groups[instance % m_groups.size()]);
    const bool active = view.activeOrder(Service) != nullptr;
    if (active)
        counter.requestArrived(m_order.id, route);
    const bool beforeDeadline = elapsed() < m_order.duration;
    m_result.arrived += beforeDeadline ? 1 : 0;
    const VersionChoice choice = view.choose(Service, route, true, m_random, m_now);
    const bool listed = elapsed() >= m_options.listedAfter;
    bool isNew = (choice == VersionChoice::New && listed) || choice == VersionChoice::NewOnly;
    if (!isNew && choice == VersionChoice::Old)
        isNew = view.allows(Service, "v2", choice);
    if (!isNew && m_oldStopped) {
        ++m_result.refused;
        return;
    }
    const auto oldServers = static_cast<std::size_t>(m_options.oldServers);
    const std::size_t inUse = view.serversInUse(Service);
    const auto newServers = static_cast<std::size_t>(m_options.newServers);
    const std::size_t server = isNew
        ? oldServers + m_random.below(inUse == 0 ? newServers : std::min(inUse, newServers))
        : m_random.below(oldServers);
    Server &chosen = m_servers[server];
    const VersionFault &fault = isNew ? m_options.newFault : m_options.oldFault;
    const auto *found =
        std::find_if(Routes.begin(), Routes.end(),
                     [&route](const ModelRoute &each) { return route == each.name; });
    Request request;
    request.instance = instance;
    request.server = server;
    request.route = route;
    request.failed = m_random.uniform() < found->normalFailures;
    request.latency = normalLatency(isStream);
    request.isStream = isStream;
    bool bad = false;
    if (applies(fault, chosen, route)) {
        if (m_random.uniform() < fault.failures)
            request.failed = bad = true;
        request.latency *= fault.slowdown;
        bad |= fault.slowdown > 1;
    }
    if (isNew) {
        if (active)
            counter.sentToNewVersion(m_order.id, route);
        m_result.exposed += beforeDeadline ? 1 : 0;
        if (m_fiftiethBadAt != SteadyTime())
            m_result.lastSentAfterBad =
                std::chrono::duration_cast<milliseconds>(m_now - m_fiftiethBadAt);
        m_result.badAnswers += bad ? 1 : 0;
        if (m_result.badAnswers >= RollbackAnswers && m_fiftiethBadAt == SteadyTime())
            m_fiftiethBadAt = m_now + milliseconds(static_cast<std::int64_t>(request.latency));
    }
    ++chosen.inFlight;
    const milliseconds firstByte(static_cast<std::int64_t>(request.latency));
    const double rest = isStream ? 400 + m_random.exponential(700) : 0;
    request.endsAt = m_now + firstByte + milliseconds(static_cast<std::int64_t>(rest));
    m_running.emplace(m_now + firstByte, request);
}

void RolloutModel::answerFirstByte(Request request)
{
    const bool isNew = m_servers[request.server].isNew;
    if (m_instances[request.instance].view.activeOrder(Service) != nullptr) {
        RolloutCounter counter(m_groups[request.instance % m_groups.size()]);
        counter.latency(m_order.id, request.route, isNew, request.latency);
    }
    request.waits = false;
    m_running.emplace(request.failed ? m_now : request.endsAt, request);
}

void RolloutModel::finish(const Request &request)
{
    --m_servers[request.server].inFlight;
    const bool isNew = m_servers[request.server].isNew;
    RolloutView &view = m_instances[request.instance].view;
    if (isNew)
        view.newVersionAnswered(Service, !request.failed, m_now);
    if (view.activeOrder(Service) == nullptr)
        return;
    RolloutCounter counter(m_groups[request.instance % m_groups.size()]);
    counter.answered(m_order.id, request.route, isNew, request.failed);
}

void RolloutModel::sendReports()
{
    for (std::size_t i = 0; i < m_groups.size(); ++i)
        m_reports.push_back({ m_now + delay(), i, m_series[i], m_groups[i].own() });
}

void RolloutModel::deliver()
{
    std::erase_if(m_reports, [this](const Report &report) {
        if (report.arrivesAt > m_now)
            return false;
        for (Holder &holder : m_holders) {
            if (!m_instances[holder.instance].cutOff && isUp(m_instances[holder.instance]))
                holder.totals.updatePeer(std::to_string(report.group), report.series,
                                         report.totals);
        }
        return true;
    });
    std::erase_if(m_messages, [this](const Message &message) {
        if (message.arrivesAt > m_now)
            return false;
        if (isUp(m_instances[message.instance]))
            m_instances[message.instance].view.stageReceived(message.stage, m_now);
        return true;
    });
}

std::uint64_t RolloutModel::followedByAll() const
{
    std::uint64_t lowest = UINT64_MAX;
    for (const Instance &instance : m_instances) {
        if (isUp(instance) && !instance.cutOff)
            lowest = std::min(lowest, instance.view.followedNumber(Service, m_now));
    }
    return lowest;
}

std::uint32_t RolloutModel::runningOnOld() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(), [this](const auto &entry) {
            const Request &request = entry.second;
            return !m_servers[request.server].isNew && !m_instances[request.instance].cutOff;
        }));
}

void RolloutModel::issue(Holder &holder, const RolloutStage &stage)
{
    m_instances[holder.instance].view.stageReceived(stage, m_now);
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (i != holder.instance && !m_instances[i].cutOff)
            m_messages.push_back({ m_now + delay(), i, stage });
    }
}

void RolloutModel::judge()
{
    for (Holder &each : m_holders) {
        if (isUp(m_instances[each.instance]))
            each.judge.update(RolloutCounter(each.totals).counts(m_order.id), m_now);
    }
    Holder &holder = m_holders[m_holder];
    if (m_now < m_leaseFrom || !isUp(m_instances[holder.instance]) || isFinal(m_stored.step))
        return;
    if (!holder.plan) {
        if (!storeAnswers())
            return;
        holder.plan =
            std::make_unique<RolloutPlan>(m_order, Limit, m_stored, holder.judge, 1 + m_holder);
    }
    RolloutPlan &plan = *holder.plan;
    RolloutState state;
    state.now = m_now;
    state.elapsed = elapsed();
    state.oldServers = m_options.oldServers;
    state.newServers = elapsed() >= m_options.listedAfter ? m_options.newServers : 0;
    state.runningOnOld = runningOnOld();
    state.followedByAll = followedByAll();
    const RolloutCounts counts = RolloutCounter(holder.totals).counts(m_order.id);
    issue(holder, plan.update(counts, state));
    if (!plan.shouldStore(m_now) || !storeAnswers())
        return;
    m_stored = plan.record();
    plan.stored(m_stored, m_now);
    if (!isFinal(m_stored.step))
        return;
    m_result.step = m_stored.step;
    m_result.reason = plan.reason();
    m_result.endedAt = elapsed();
    m_oldStopped = m_stored.step == RolloutStep::Completed;
    if (m_oldStopped)
        m_result.cutOff = static_cast<int>(runningOnOld());
    issue(holder, plan.update(counts, state));
}

RolloutModel::Result RolloutModel::run()
{
    constexpr int TicksPerReport = 20;
    const auto end = m_start + 2 * m_options.duration;
    for (int tick = 0; m_now < end; ++tick, m_now += Tick) {
        beginTrouble();
        deliver();
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            const Request request = m_running.begin()->second;
            m_running.erase(m_running.begin());
            if (request.waits)
                answerFirstByte(request);
            else
                finish(request);
        }
        arrive();
        if (tick % TicksPerReport == 0) {
            sendReports();
            judge();
        }
    }
    return m_result;
}

} // namespace snipestall::serving
