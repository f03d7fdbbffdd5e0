#include "snipestall/gateway/rollout_runner.hpp"

#include "duty_rows.hpp"
#include "platform/rollout_document.hpp"
#include "platform/store_client.hpp"
#include "rollout_row.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipestall::gateway {

using serving::RolloutStep;
using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr auto RolloutTable = "rollouts";
/// Longer than a change of the lease's holder takes.
constexpr milliseconds UnheardFor { 5000 };
constexpr milliseconds RereadInterval { 2000 };

platform::RowName recordRow(const std::string &service)
{
    return { RolloutTable, std::string(), service };
}

} // namespace

RolloutRunner::RolloutRunner(GatewayState &state, platform::StoreClient &store, Hooks hooks)
    : m_state(state)
    , m_store(store)
    , m_hooks(std::move(hooks))
{ }

Task<void> RolloutRunner::tick()
{
    if (!m_state.rolloutsKnown) {
        co_await readRecords();
        co_return;
    }
    judge();
    if (m_hooks.holdsLease())
        co_await decide();
    else
        m_plans.clear();
    co_await readIfUnheard();
}

Task<bool> RolloutRunner::readRecords()
{
    m_recordsReadAt = m_state.clock.steadyNow();
    const auto rows = co_await m_store.read(RolloutTable, std::string(), StoreTimeout);
    if (!rows)
        co_return false;
    for (const platform::StoredRow &row : rows->rows) {
        StoredRecord stored;
        stored.version = row.version;
        decodeRollout(row.value, stored.record, stored.barred);
        m_records[row.name.key] = stored;
        applyRecord(row.name.key, stored);
    }
    m_state.rolloutsKnown = true;
    co_return true;
}

void RolloutRunner::applyRecord(const std::string &service, const StoredRecord &stored)
{
    m_state.rollouts.versionsBarred(service, stored.barred);
    if (!isFinal(stored.record.step))
        return;
    serving::RolloutStage stage;
    stage.service = service;
    stage.version = stored.record.version;
    stage.order = stored.record.order;
    stage.number = stored.record.number + 1;
    stage.step = stored.record.step;
    m_state.rollouts.stageReceived(stage, m_state.clock.steadyNow());
}

Task<void> RolloutRunner::readIfUnheard()
{
    const SteadyTime now = m_state.clock.steadyNow();
    const auto orders = m_state.rollouts.activeOrders();
    const bool isHeard = std::all_of(orders.begin(), orders.end(), [&](const auto &order) {
        return m_state.rollouts.isFollowing(order.service, now);
    });
    if (isHeard)
        m_heardAt = now;
    if (now - m_heardAt >= UnheardFor && now - m_recordsReadAt >= RereadInterval)
        co_await readRecords();
}

Task<bool> RolloutRunner::createPlans()
{
    std::vector<serving::RolloutOrder> missing;
    for (const serving::RolloutOrder &order : m_state.rollouts.activeOrders()) {
        const auto found = m_plans.find(order.service);
        if (found == m_plans.end() || found->second->order().id != order.id)
            missing.push_back(order);
    }
    if (missing.empty())
        co_return true;
    if (!m_state.commonTime.storeClockKnown() || !co_await readRecords())
        co_return false;
    const serving::ExposureLimit limit { m_state.settings.bounds.exposureShare,
                                         m_state.settings.bounds.exposureTolerance };
    for (const serving::RolloutOrder &order : missing) {
        serving::RolloutRecord record;
        const auto found = m_records.find(order.service);
        if (found != m_records.end() && found->second.record.order == order.id) {
            record = found->second.record;
        } else {
            record.order = order.id;
            record.version = order.version;
            record.seenAt = m_state.commonTime.storeTimeAt(m_state.clock.steadyNow());
        }
        if (!m_state.rollouts.activeOrder(order.service))
            continue;
        m_plans[order.service] = std::make_unique<serving::RolloutPlan>(
            order, limit, record, m_judges[order.id], m_hooks.fencingToken());
    }
    co_return true;
}

Task<void> RolloutRunner::decide()
{
    if (std::exchange(m_fencingToken, m_hooks.fencingToken()) != m_hooks.fencingToken())
        m_plans.clear();
    if (!co_await createPlans())
        co_return;
    std::erase_if(m_plans, [this](const auto &entry) {
        const serving::RolloutOrder *active = m_state.rollouts.activeOrder(entry.first);
        const serving::RolloutPlan &plan = *entry.second;
        const bool ended = active == nullptr || active->id != plan.order().id;
        return ended && !plan.mustStore();
    });
    for (const auto &[service, plan] : m_plans)
        co_await advance(*plan);
}

Task<void> RolloutRunner::advance(serving::RolloutPlan &plan)
{
    issue(plan);
    if (!plan.shouldStore(m_state.clock.steadyNow()))
        co_return;
    co_await store(plan);
    // The end is told as soon as it is stored.
    if (!plan.mustStore() && isFinal(plan.step()))
        issue(plan);
}

serving::RolloutState RolloutRunner::stateOf(const serving::RolloutPlan &plan) const
{
    const SteadyTime now = m_state.clock.steadyNow();
    const serving::RolloutOrder &order = plan.order();
    serving::RolloutState state;
    state.now = now;
    state.elapsed = m_state.commonTime.storeTimeAt(now) - plan.seenAt();
    state.followedByAll = std::min(m_hooks.followedByAll(order.service),
                                   m_state.rollouts.followedNumber(order.service, now));
    const auto inService = m_state.rollouts.inService(order.service);
    state.targetInService = inService.size() == 1 && inService.contains(order.version);
    for (const auto &[id, server] : m_state.servers.all()) {
        if (server->info.service != order.service)
            continue;
        const bool isNew = server->info.version == order.version;
        if (server->takesWork())
            ++(isNew ? state.newServers : state.oldServers);
        if (!isNew)
            state.runningOnOld += server->own.inFlight + m_state.peerLoads.at(server->key).inFlight;
    }
    return state;
}

void RolloutRunner::issue(serving::RolloutPlan &plan)
{
    const serving::RolloutStage stage =
        plan.update(m_state.rolloutCounter.counts(plan.order().id), stateOf(plan));
    if (!m_hooks.holdsLease() || !m_state.rollouts.stageReceived(stage, m_state.clock.steadyNow()))
        return;
    if (isFinal(stage.step))
        m_state.rolloutCounter.forget(stage.order);
    logEvent(events::RolloutStepTaken,
             { { "service", stage.service },
               { "version", stage.version },
               { "order", std::to_string(stage.order) },
               { "step", toString(stage.step) },
               { "reason", plan.reason() },
               { "evidence", plan.progress() },
               { "arrived", std::to_string(static_cast<std::int64_t>(plan.arrived())) },
               { "exposed", std::to_string(static_cast<std::int64_t>(plan.exposed())) },
               { "fence", std::to_string(m_fencingToken) } });
}

Task<void> RolloutRunner::store(serving::RolloutPlan &plan)
{
    const std::string service = plan.order().service;
    StoredRecord &known = m_records[service];
    const serving::RolloutRecord record = plan.record();
    std::set<std::string> barred = m_state.rollouts.barred(service);
    if (record.step == RolloutStep::Completed)
        barred.merge(m_state.rollouts.inService(service));
    if (record.step == RolloutStep::RolledBack)
        barred.insert(record.version);
    if (record.step != RolloutStep::RolledBack)
        barred.erase(record.version);
    std::vector<platform::RowCondition> conditions { { recordRow(service), known.version } };
    std::vector<platform::RowWrite> writes { { recordRow(service),
                                               encodeRollout(record, barred) } };
    if (plan.mustStore())
        writes.push_back({ platform::rolloutStatusRow(service),
                           platform::encodeRolloutStatus(record.version, record.step) });
    if (!m_hooks.holdsLease())
        co_return;
    const auto done =
        co_await m_store.write(std::move(conditions), std::move(writes), StoreTimeout);
    if (!done) {
        // Unavailable and Exhausted guarantee that nothing was written.
        if (done.error().kind != ErrorKind::Unavailable
            && done.error().kind != ErrorKind::Exhausted)
            co_await settle(plan, record);
        co_return;
    }
    known = { record, std::move(barred), done->storeVersion };
    plan.stored(record, m_state.clock.steadyNow());
    logEvent(events::RolloutStored,
             { { "service", service },
               { "step", toString(record.step) },
               { "order", std::to_string(record.order) } });
}

Task<void> RolloutRunner::settle(serving::RolloutPlan &plan, const serving::RolloutRecord &record)
{
    if (!co_await readRecords())
        co_return;
    const serving::RolloutRecord &found = m_records[plan.order().service].record;
    if (found.order == record.order && found.number == record.number && found.step == record.step)
        plan.stored(record, m_state.clock.steadyNow());
}

void RolloutRunner::judge()
{
    const auto orders = m_state.rollouts.activeOrders();
    std::erase_if(m_judges, [&orders](const auto &entry) {
        return std::none_of(orders.begin(), orders.end(),
                            [&entry](const auto &order) { return order.id == entry.first; });
    });
    for (const serving::RolloutOrder &order : orders)
        m_judges[order.id].update(m_state.rolloutCounter.counts(order.id),
                                  m_state.clock.steadyNow());
}

} // namespace snipestall::gateway
