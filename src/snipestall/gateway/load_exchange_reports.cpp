// The part of LoadExchange that fills in reports and applies their parts.

#include "snipestall/gateway/load_exchange.hpp"

#include "platform/store_client.hpp"
#include "server_limit_log.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/store_follower.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
namespace v1 = exchange::v1;

namespace {

/// Several intervals of reports, within which a new process of a peer gets what older reports were
/// about.
constexpr milliseconds NewProcessFor { 1500 };

/// Counts that decay are sent in hundredths.
constexpr double CountUnit = 100;

std::uint32_t encodeCount(double count)
{
    return static_cast<std::uint32_t>(std::lround(count * CountUnit));
}

void encodeLoad(const std::string &server, const serving::ServerLoad &load, v1::ServerWork &work)
{
    using std::chrono::microseconds;
    work.set_server(server);
    work.set_in_flight(load.inFlight);
    work.set_pending_tokens(static_cast<std::uint32_t>(load.pendingTokens));
    work.set_held_tokens(static_cast<std::uint64_t>(load.heldTokens));
    const bool anyWaits = std::ranges::any_of(
        load.waiting, [](const serving::WaitingRequests &each) { return each.count > 0; });
    for (const serving::WaitingRequests &each : load.waiting) {
        if (!anyWaits)
            break;
        work.add_waiting(each.count);
        work.add_band_tokens(static_cast<std::uint32_t>(each.tokens));
    }
    const serving::ServerOutcomes &outcomes = load.outcomes;
    work.set_answered_c(encodeCount(outcomes.answered));
    work.set_failed_c(encodeCount(outcomes.failed));
    work.set_pauses_c(encodeCount(outcomes.paced));
    work.set_pause_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(outcomes.pace).count()));
}

serving::ServerLoad decodeLoad(const v1::ServerWork &work)
{
    serving::ServerLoad load;
    load.inFlight = work.in_flight();
    load.pendingTokens = work.pending_tokens();
    load.heldTokens = static_cast<double>(work.held_tokens());
    for (std::size_t i = 0; i < serving::ServerLoad::Bands; ++i) {
        const int field = static_cast<int>(i);
        if (field < work.waiting_size())
            load.waiting.at(i).count = work.waiting(field);
        if (field < work.band_tokens_size())
            load.waiting.at(i).tokens = work.band_tokens(field);
    }
    load.outcomes = { work.answered_c() / CountUnit, work.failed_c() / CountUnit,
                      work.pauses_c() / CountUnit, std::chrono::microseconds(work.pause_us()) };
    return load;
}

void encodePart(const serving::PartReport &part, v1::SuspectPart &entry)
{
    entry.set_service(part.name.service);
    entry.set_model(part.name.model);
    entry.set_id(part.name.id);
    entry.set_blocked(part.blocked);
    entry.set_stored(part.stored);
    if (part.answered)
        entry.set_answered_age_ms(static_cast<std::uint32_t>(part.answered->count()));
    for (const serving::ServerEnd &each : part.ends) {
        v1::ServerEnd *end = entry.add_ends();
        end->set_server(each.server);
        end->set_age_ms(static_cast<std::uint32_t>(each.age.count()));
    }
}

serving::PartReport decodePart(const v1::SuspectPart &entry)
{
    serving::PartReport part;
    part.name = { entry.service(), entry.model(), entry.id() };
    part.blocked = entry.blocked();
    part.stored = entry.stored();
    if (entry.has_answered_age_ms())
        part.answered = milliseconds(entry.answered_age_ms());
    for (const v1::ServerEnd &each : entry.ends())
        part.ends.push_back({ each.server(), milliseconds(each.age_ms()) });
    return part;
}
/// Two intervals of reports. Credits are handed over only to peers that have reported within this
/// time, because they are lost with a report that does not arrive.
constexpr milliseconds GrantsAfterReport { 400 };

void encodeStage(const serving::RolloutStage &stage, v1::RolloutStage &entry)
{
    entry.set_service(stage.service);
    entry.set_version(stage.version);
    entry.set_order(stage.order);
    entry.set_number(stage.number);
    entry.set_step(toString(stage.step));
    for (const auto &[route, share] : stage.shares)
        (*entry.mutable_shares())[route] = share;
    entry.set_default_share(stage.defaultShare);
    entry.set_servers(stage.servers);
}

serving::RolloutStage decodeStage(const v1::RolloutStage &entry)
{
    serving::RolloutStage stage;
    stage.service = entry.service();
    stage.version = entry.version();
    stage.order = entry.order();
    stage.number = entry.number();
    stage.step = serving::rolloutStepOf(entry.step());
    stage.shares = { entry.shares().begin(), entry.shares().end() };
    stage.defaultShare = entry.default_share();
    stage.servers = entry.servers();
    return stage;
}

} // namespace

v1::LoadReport LoadExchange::ownReport() const
{
    v1::LoadReport report;
    report.set_instance(m_state.settings.instance);
    report.set_series(m_state.incarnation);
    report.set_address(ownAddress());
    report.set_data_centre(m_state.settings.dataCentre);
    report.set_milli_cores(m_state.settings.milliCores);
    report.set_forward_port(m_state.settings.forwardPort);
    report.set_instances(1);
    report.set_heard_instances(1);
    report.set_process(m_state.processName());
    if (const auto offset = m_state.commonTime.offset())
        report.set_time_offset_ms(offset->count());
    report.set_holds_lease(m_hooks.holdsLease());
    for (const auto &[id, server] : m_state.servers.all()) {
        const serving::ServerOutcomes outcomes = server->outcomes.at(m_state.clock.steadyNow());
        // An idle server is reported only if it fails: with thousands of servers, reports would
        // grow by half.
        if (server->own.inFlight == 0 && outcomes.failed < serving::ServerOutcomes::Negligible)
            continue;
        serving::ServerLoad load = server->own;
        load.outcomes = outcomes;
        encodeLoad(server->key, load, *report.add_servers());
    }
    for (const auto &[customer, totals] : m_state.quotas.ownUse()) {
        v1::CustomerUse *use = report.add_customers();
        use->set_customer(customer);
        use->set_units(totals.taken);
        use->set_asked(totals.asked);
    }
    const serving::ServiceWork &slotWork = m_state.demand.ownSlotWork();
    for (const auto &[service, seconds] : m_state.demand.ownWork()) {
        v1::ServiceWork *work = report.add_services();
        work->set_service(service);
        work->set_seconds(seconds);
        if (const auto slots = slotWork.find(service); slots != slotWork.end())
            work->set_slot_seconds(slots->second);
    }
    addRollouts(report);
    addRetryLevels(report);
    addServerLimits(report);
    addLeavingServers(report);
    addCutOffs(report);
    addRejectionReports(report);
    if (m_state.commonTime.known()) {
        const WallTime time = m_state.commonTime.at(m_state.clock.steadyNow());
        report.set_usage_closed_up_to(m_state.usage.windowOf(time) - 1);
    }
    for (const auto &[window, counts] : m_state.usage.all()) {
        v1::UsageCount *usage = report.add_usage();
        usage->set_window(window);
        for (const auto &[customer, count] : counts)
            (*usage->mutable_customers())[customer] = count;
    }
    return report;
}

void LoadExchange::addCrashes(const Peer &receiver, v1::LoadReport &report) const
{
    const SteadyTime now = m_state.clock.steadyNow();
    const bool isNew = now - receiver.processKnownSince < NewProcessFor;
    const auto crashes =
        isNew ? m_state.crashes.allReports(now) : m_state.crashes.recentReports(now);
    for (const serving::CrashReport &crash : crashes) {
        v1::Crash *entry = report.add_crashes();
        entry->set_fingerprint(crash.fingerprint);
        entry->set_server(crash.server);
        entry->set_age_ms(static_cast<std::uint32_t>(crash.age.count()));
    }
    report.set_suspect_parts_known(m_state.crashes.parts().known());
    for (const serving::PartReport &part : m_state.crashes.parts().reports(isNew, now))
        encodePart(part, *report.add_suspect_parts());
}

void LoadExchange::applyCrashes(const v1::LoadReport &report)
{
    const SteadyTime now = m_state.clock.steadyNow();
    for (const v1::Crash &crash : report.crashes())
        m_state.crashes.addReport(
            { crash.fingerprint(), crash.server(), milliseconds(crash.age_ms()) }, now);
    for (const v1::SuspectPart &part : report.suspect_parts())
        m_state.crashes.parts().receive(decodePart(part), now);
    if (report.suspect_parts_known())
        m_state.crashes.parts().learned();
}

void LoadExchange::addRollouts(v1::LoadReport &report) const
{
    if (!m_state.rollouts.enabled())
        return;
    for (const serving::RolloutStage &stage : m_state.rollouts.stages())
        encodeStage(stage, *report.add_rollout_stages());
    for (const serving::RolloutOrder &order : m_state.rollouts.activeOrders()) {
        v1::RolloutFollowed *followed = report.add_rollouts_followed();
        followed->set_service(order.service);
        followed->set_number(
            m_state.rollouts.followedNumber(order.service, m_state.clock.steadyNow()));
    }
    for (const auto &[name, value] : m_state.rolloutTotals.own()) {
        v1::RolloutTotal *total = report.add_rollout_totals();
        total->set_name(name);
        total->set_value(value);
    }
}

void LoadExchange::applyRollouts(const v1::LoadReport &report)
{
    for (const v1::RolloutStage &each : report.rollout_stages()) {
        const serving::RolloutStage stage = decodeStage(each);
        const serving::RolloutOrder *order = m_state.rollouts.activeOrder(stage.service);
        const bool ends = order != nullptr && order->id == stage.order && isFinal(stage.step);
        if (!m_state.rollouts.stageReceived(stage, m_state.clock.steadyNow()))
            continue;
        if (ends)
            m_state.rolloutCounter.forget(stage.order);
        logEvent(events::RolloutFollowed,
                 { { "service", stage.service },
                   { "version", stage.version },
                   { "step", toString(stage.step) },
                   { "order", std::to_string(stage.order) } });
    }
}

void LoadExchange::addLeavingServers(v1::LoadReport &report) const
{
    for (const serving::LeavingReport &each :
         m_state.servers.notices().leavingReports(m_state.clock.steadyNow())) {
        v1::LeavingServer *entry = report.add_leaving_servers();
        entry->set_server(each.server);
        entry->set_age_ms(static_cast<std::uint32_t>(each.age.count()));
    }
}

void LoadExchange::applyLeavingServers(const v1::LoadReport &report)
{
    for (const v1::LeavingServer &entry : report.leaving_servers()) {
        const milliseconds age(entry.age_ms());
        if (age <= serving::ServerNotices::ReportedFor
            && m_state.servers.saidItLeaves(entry.server(), m_state.clock.steadyNow() - age))
            logEvent(
                events::ServerSaysItLeaves,
                { { "server", entry.server() }, { "attempt", "" }, { "from", report.instance() } });
    }
}

void LoadExchange::addServerLimits(v1::LoadReport &report) const
{
    for (const serving::ServerLimitReport &limit :
         m_state.limits.reports(m_state.clock.steadyNow())) {
        v1::ServerLimit *entry = report.add_server_limits();
        entry->set_server(limit.server);
        if (limit.perSecond)
            entry->set_per_second(*limit.perSecond);
        entry->set_age_ms(static_cast<std::uint32_t>(limit.age.count()));
    }
}

void LoadExchange::applyServerLimits(const v1::LoadReport &report)
{
    for (const v1::ServerLimit &entry : report.server_limits()) {
        serving::ServerLimitReport limit { entry.server(), std::nullopt,
                                           milliseconds(entry.age_ms()) };
        if (entry.has_per_second())
            limit.perSecond = entry.per_second();
        if (m_state.limits.apply(limit, m_state.clock.steadyNow()))
            logServerLimit(limit, report.instance());
    }
}

void LoadExchange::addCutOffs(v1::LoadReport &report) const
{
    const auto add = [&report](const std::string &instance, milliseconds age) {
        v1::CutOff *entry = report.add_cut_off();
        entry->set_instance(instance);
        entry->set_age_ms(static_cast<std::uint32_t>(age.count()));
    };
    if (m_state.reach.cutOff())
        add(m_state.settings.instance, milliseconds(0));
    for (const serving::CutOffReport &each :
         m_state.forwardTargets.cutOffs(m_state.clock.steadyNow()))
        add(each.instance, each.age);
}

void LoadExchange::applyCutOffs(const v1::LoadReport &report)
{
    bool senderCutOff = false;
    for (const v1::CutOff &entry : report.cut_off()) {
        senderCutOff |= entry.instance() == report.instance();
        if (entry.instance() != m_state.settings.instance)
            m_state.forwardTargets.cutOff({ entry.instance(), milliseconds(entry.age_ms()) },
                                          m_state.clock.steadyNow());
    }
    if (!senderCutOff)
        m_state.forwardTargets.reaches(report.instance());
}

void LoadExchange::addRejectionReports(v1::LoadReport &report) const
{
    for (const serving::RejectionReport &each :
         m_state.slotShares.reports(m_state.clock.steadyNow())) {
        v1::RejectionReport *entry = report.add_rejection_reports();
        entry->set_service(each.service);
        entry->set_age_ms(static_cast<std::uint32_t>(each.age.count()));
    }
}

void LoadExchange::applyRejectionReports(const v1::LoadReport &report)
{
    for (const v1::RejectionReport &entry : report.rejection_reports()) {
        const serving::RejectionReport named { entry.service(), milliseconds(entry.age_ms()) };
        if (m_state.slotShares.named(named, m_state.clock.steadyNow()))
            logEvent(events::SlotsShared,
                     { { "service", named.service }, { "from", report.instance() } });
    }
}

void LoadExchange::addRetryLevels(v1::LoadReport &report) const
{
    report.set_takes_retry_grants(true);
    for (const auto &[service, credits] : m_state.retries.levels(m_state.clock.steadyNow())) {
        v1::RetryLevel *level = report.add_retry_levels();
        level->set_service(service);
        level->set_credits(credits);
    }
}

void LoadExchange::addRetryGrants(const Peer &receiver, v1::LoadReport &report)
{
    const SteadyTime now = m_state.clock.steadyNow();
    if (!receiver.takesRetryGrants || now - receiver.lastReportAt > GrantsAfterReport)
        return;
    for (const serving::RetryGrant &grant : m_state.retries.handOver(receiver.retryLevels, now)) {
        v1::RetryGrant *entry = report.add_retry_grants();
        entry->set_service(grant.service);
        entry->set_credits(grant.credits);
        entry->set_age_ms(static_cast<std::uint32_t>(grant.age.count()));
    }
}

void LoadExchange::applyRetryCredits(const v1::LoadReport &report, Peer &peer)
{
    peer.takesRetryGrants = report.takes_retry_grants();
    peer.retryLevels.clear();
    for (const v1::RetryLevel &level : report.retry_levels())
        peer.retryLevels[level.service()] = level.credits();
    for (const v1::RetryGrant &grant : report.retry_grants())
        m_state.retries.receive({ grant.service(), grant.credits(), milliseconds(grant.age_ms()) },
                                m_state.clock.steadyNow());
    updateRetryShare();
}

v1::LoadReport LoadExchange::reportFor(const std::string &receiver, bool asMember)
{
    v1::LoadReport report =
        m_book.reportFor(receiver, ownReport(), asMember, m_state.clock.steadyNow());
    // Sums keep the counts of orders that have ended.
    if (m_state.rollouts.activeOrders().empty())
        report.clear_rollout_totals();
    const auto found = m_peers.find(receiver);
    const Peer *peer = found == m_peers.end() ? nullptr : &found->second;
    if (report.for_member() && peer != nullptr)
        report.set_usage_stored_up_to(m_state.memberUsage.storedUpTo(peer->process));
    if (peer != nullptr) {
        addCrashes(*peer, report);
        addRetryGrants(*peer, report);
    }
    m_tables.addTo(report, receiver, m_state.clock.steadyNow());
    m_streams.addTo(report, receiver, m_state.clock.steadyNow());
    return report;
}

void LoadExchange::applyUsage(const v1::LoadReport &report)
{
    if (report.for_member())
        m_state.memberUsage.hubStored(report.usage_stored_up_to(), m_state.clock.steadyNow());
    if (report.to_hub())
        m_state.memberUsage.memberClosed(report.process(), report.usage_closed_up_to());
    for (const v1::UsageCount &usage : report.usage()) {
        const serving::UsageCounts counts(usage.customers().begin(), usage.customers().end());
        m_state.usageLedger.addCounts(usage.window(), report.process(), counts);
    }
}

void LoadExchange::applyTotals(const v1::LoadReport &report, SteadyTime now)
{
    if (report.for_member() && m_hub != report.instance()) {
        // The reports of both hubs cover the whole fleet. If they were added up, every server would
        // look twice as loaded.
        m_state.peerLoads.forget(m_hub);
        m_hub = report.instance();
    }
    serving::PeerLoads::Loads loads;
    for (const v1::ServerWork &work : report.servers())
        loads[work.server()] = decodeLoad(work);
    m_state.peerLoads.update(report.instance(), std::move(loads), now);
    m_state.quotas.updatePeerUse(
        report.instance(),
        { report.series(), report.instances(), report.heard_instances(), report.for_member() },
        ReportBook::quotaUse(report), now);
    serving::ServiceWork services;
    serving::ServiceWork slotWork;
    for (const v1::ServiceWork &each : report.services()) {
        services[each.service()] = each.seconds();
        slotWork[each.service()] = each.slot_seconds();
    }
    m_state.demand.updatePeerWork(report.instance(), report.series(), services, slotWork);
    if (m_state.rollouts.activeOrders().empty())
        return;
    serving::Totals rollouts;
    for (const v1::RolloutTotal &total : report.rollout_totals())
        rollouts[total.name()] = total.value();
    m_state.rolloutTotals.updatePeer(report.instance(), report.series(), rollouts);
}

} // namespace snipestall::gateway
