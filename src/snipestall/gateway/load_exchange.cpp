#include "snipestall/gateway/load_exchange.hpp"

#include "platform/store_client.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/exchange_transport.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/instance_row.hpp"
#include "snipestall/gateway/store_follower.hpp"
#include "snipestall/wire/signal.hpp"

#include "exchange.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;
namespace v1 = exchange::v1;

namespace {

constexpr auto InstancesTable = "instances";
constexpr milliseconds CallTimeout { 600 };
/// Peers that have not reported for longer are logged.
constexpr milliseconds SilentAfter { 1500 };
/// Interval of reading the table. It is long, because a new instance calls all others itself.
constexpr milliseconds ReadInterval { 60000 };
/// Time after which instances that start together have registered themselves. An instance that is
/// missed by the second read calls its hub or the other hubs itself.
constexpr milliseconds SecondReadAfter { 700 };
constexpr milliseconds SecondReadJitter { 300 };
constexpr milliseconds StoreTimeout { 1500 };
constexpr milliseconds RetryPause { 300 };
/// Several intervals of reports, within which a new process of a peer gets what older reports were
/// about.
constexpr milliseconds NewProcessFor { 1500 };
/// Two intervals of reports. Credits are handed over only to peers that have reported within this
/// time, because they are lost with a report that does not arrive.
constexpr milliseconds GrantsAfterReport { 400 };
/// Several intervals of reports. A copy that is older is not kept up to date by the reader of its
/// data centre.
constexpr milliseconds LocalCopyMaxAge { 700 };

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
    entry.set_old_servers_leave_ms(static_cast<std::uint32_t>(stage.oldServersLeaveIn.count()));
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
    stage.oldServersLeaveIn = milliseconds(entry.old_servers_leave_ms());
    return stage;
}

} // namespace

LoadExchange::LoadExchange(GatewayState &state, platform::StoreClient &store,
                           StoreFollower &follower, Hooks hooks)
    : m_state(state)
    , m_store(store)
    , m_follower(follower)
    , m_hooks(std::move(hooks))
    , m_calls(state.settings.instance, { state.settings.dataCentre, state.settings.milliCores })
{
    m_book.setContact(state.settings.bounds.contact);
}

LoadExchange::~LoadExchange() = default;

Result<std::unique_ptr<LoadExchange>> LoadExchange::create(GatewayState &state,
                                                           platform::StoreClient &store,
                                                           StoreFollower &follower, Hooks hooks)
{
    std::unique_ptr<LoadExchange> exchange(
        new LoadExchange(state, store, follower, std::move(hooks)));
    const auto handler = [raw = exchange.get()](const v1::LoadReport &report,
                                                v1::LoadReport *reply) {
        raw->handleReport(report, reply);
    };
    auto server = ExchangeServer::create(state.io, exchange->ownAddress(), handler);
    if (!server)
        return tl::unexpected<Error>(server.error());
    exchange->m_server = std::move(*server);
    return exchange;
}

std::string LoadExchange::ownAddress() const
{
    return m_state.settings.address + ":" + std::to_string(m_state.settings.peerPort);
}

void LoadExchange::start()
{
    boost::asio::co_spawn(m_state.io, registerLoop(), boost::asio::detached);
    boost::asio::co_spawn(m_state.io, exchangeLoop(), boost::asio::detached);
}

std::size_t LoadExchange::instances() const
{
    return m_book.instances(m_state.clock.steadyNow());
}

Task<bool> LoadExchange::registerSelf()
{
    const platform::RowName name { InstancesTable, std::string(), m_state.settings.instance };
    const GatewaySettings &own = m_state.settings;
    const InstanceRow row { own.dataCentre, ownAddress(), own.milliCores };
    std::vector<platform::RowWrite> writes { { name, encodeInstance(row) } };
    const auto written = co_await m_store.write({}, std::move(writes), StoreTimeout);
    co_return written.has_value();
}

void LoadExchange::updatePeer(const std::string &name, const std::string &address,
                              const serving::OverlayPeer &overlayPeer)
{
    m_calls.addPeer(name, overlayPeer);
    Peer &peer = m_peers[name];
    peer.dataCentre = overlayPeer.dataCentre;
    if (peer.address == address)
        return;
    peer.address = address;
    m_calls.addressChanged(name);
    peer.channel = std::make_shared<ExchangeChannel>(m_state.io, address);
}

Task<bool> LoadExchange::readInstances()
{
    const auto rows = co_await m_store.read(InstancesTable, std::string(), StoreTimeout);
    if (!rows)
        co_return false;
    m_state.instancesKnown = true;
    m_registered = std::max<std::size_t>(rows->rows.size(), 1);
    m_instances = { { m_state.settings.instance, m_state.settings.dataCentre } };
    m_state.quotas.setRegisteredInstances(m_registered);
    updateRetryShare();
    for (const platform::StoredRow &row : rows->rows) {
        const auto instance = decodeInstance(row.value);
        if (row.name.key == m_state.settings.instance || !instance)
            continue;
        m_instances[row.name.key] = instance->dataCentre;
        updatePeer(row.name.key, instance->address, { instance->dataCentre, instance->milliCores });
    }
    m_state.limits.setInstances(m_instances);
    co_return true;
}

Task<void> LoadExchange::registerLoop()
{
    while (!co_await registerSelf())
        co_await wire::sleepFor(RetryPause);
    milliseconds pause = SecondReadAfter;
    milliseconds jitter = SecondReadJitter;
    while (true) {
        if (!co_await readInstances()) {
            co_await wire::sleepFor(RetryPause);
            continue;
        }
        const auto extra = static_cast<std::int64_t>(
            m_state.random.below(static_cast<std::uint64_t>(jitter.count())));
        co_await wire::sleepFor(pause + milliseconds(extra));
        m_listSettled = true;
        pause = ReadInterval;
        jitter = ReadInterval / 4;
    }
}

Task<void> LoadExchange::leave()
{
    const platform::RowName name { InstancesTable, std::string(), m_state.settings.instance };
    std::vector<platform::RowWrite> writes { { name, std::nullopt } };
    const auto written = co_await m_store.write({}, std::move(writes), StoreTimeout);
    if (!written)
        logEvent(events::StoreLost,
                 { { "table", InstancesTable }, { "error", written.error().message } });
}

Task<void> LoadExchange::exchangeLoop()
{
    while (true) {
        callPeers();
        markSilent();
        co_await wire::sleepFor(serving::PeerCalls::Interval / 2);
    }
}

void LoadExchange::callPeers()
{
    const SteadyTime now = m_state.clock.steadyNow();
    for (const std::string &name : m_calls.dueCalls(now, m_book.hasMembers(now)))
        call(name, m_peers.at(name));
    applyRole();
}

void LoadExchange::applyRole()
{
    // Before the other instances are known, each would consider itself the only one, read the store
    // for all, and compete for the lease.
    const serving::Overlay &overlay = m_calls.overlay();
    m_follower.setReader(m_listSettled && overlay.isReader());
    m_hooks.setCandidate(m_listSettled && overlay.isHub());
}

void LoadExchange::call(const std::string &name, Peer &peer)
{
    const SteadyTime now = m_state.clock.steadyNow();
    const bool asMember = !m_calls.overlay().isHub() && !m_book.hasMembers(now);
    v1::LoadReport report = reportFor(name, asMember);
    if (asMember)
        report.set_series(report.series() + m_calls.hubSession(name));
    peer.channel->send(report, CallTimeout, [this, name](const v1::LoadReport *report) {
        if (report == nullptr) {
            handleUnanswered(name);
            return;
        }
        m_calls.callAnswered(name);
        handleReport(*report, nullptr);
    });
}

void LoadExchange::handleUnanswered(const std::string &peer)
{
    // The answer may have arrived, but not been read yet.
    if (m_state.loopLag.last() >= serving::LoopLag::LateThreshold)
        m_calls.callAbandoned(peer);
    else
        m_calls.callFailed(peer, m_state.clock.steadyNow());
}

v1::LoadReport LoadExchange::ownReport() const
{
    v1::LoadReport report;
    report.set_instance(m_state.settings.instance);
    report.set_series(m_state.incarnation);
    report.set_address(ownAddress());
    report.set_data_centre(m_state.settings.dataCentre);
    report.set_milli_cores(m_state.settings.milliCores);
    report.set_instances(1);
    report.set_heard_instances(1);
    report.set_process(m_state.processName());
    if (const auto offset = m_state.commonTime.offset())
        report.set_time_offset_ms(offset->count());
    report.set_holds_lease(m_hooks.holdsLease());
    for (const auto &[id, server] : m_state.servers.all()) {
        if (server->own.inFlight == 0)
            continue;
        v1::ServerWork *work = report.add_servers();
        work->set_server(server->key);
        work->set_in_flight(server->own.inFlight);
        work->set_pending_tokens(static_cast<std::uint32_t>(server->own.pendingTokens));
        work->set_held_tokens(static_cast<std::uint64_t>(server->own.heldTokens));
    }
    for (const auto &[customer, totals] : m_state.quotas.ownUse()) {
        v1::CustomerUse *use = report.add_customers();
        use->set_customer(customer);
        use->set_units(totals.taken);
        use->set_asked(totals.asked);
    }
    for (const auto &[service, seconds] : m_state.demand.ownWork()) {
        v1::ServiceWork *work = report.add_services();
        work->set_service(service);
        work->set_seconds(seconds);
    }
    addRollouts(report);
    addRetryLevels(report);
    addServerLimits(report);
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
            logEvent(events::ServerLimitChanged,
                     { { "server", limit.server },
                       { "per_second", limit.perSecond ? std::to_string(*limit.perSecond) : "" },
                       { "from", report.instance() },
                       { "age_ms", std::to_string(limit.age.count()) } });
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

void LoadExchange::updateRetryShare()
{
    // An instance that can't be reached may still serve, so it counts as long as it is registered.
    // One that has started since the table was read reports itself.
    if (m_registered > 0)
        m_state.retries.setInstances(std::max(m_registered, instances()),
                                     m_state.clock.steadyNow());
}

std::uint64_t LoadExchange::rolloutFollowedByAll(const std::string &service) const
{
    return m_book.followedByAll(service, m_state.clock.steadyNow());
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
    addTable(m_follower.config(), peer, report);
    addTable(m_follower.list(), peer, report);
    return report;
}

bool LoadExchange::hasLocalReader(const Peer &peer, const std::string &table) const
{
    const auto age = peer.ages.find(table);
    return peer.dataCentre != m_state.settings.dataCentre && age != peer.ages.end()
        && age->second <= LocalCopyMaxAge;
}

void LoadExchange::addTable(const TableCopy &copy, const Peer *receiver,
                            v1::LoadReport &report) const
{
    v1::TableState *state = report.add_tables();
    state->set_table(copy.table());
    state->set_version(copy.version());
    constexpr milliseconds MaxAge { 3600000 };
    state->set_age_ms(
        static_cast<std::uint32_t>(std::min(copy.age(m_state.clock.steadyNow()), MaxAge).count()));
    if (receiver == nullptr || !receiver->versions.contains(copy.table())
        || hasLocalReader(*receiver, copy.table()))
        return;
    const auto changes = copy.since(receiver->versions.at(copy.table()));
    if (!changes)
        return;
    state->set_rows_from(changes->from);
    for (const platform::StoredRow &row : changes->rows) {
        v1::TableRow *entry = state->add_rows();
        entry->set_key(row.name.key);
        entry->set_value(row.value);
        entry->set_version(row.version);
        entry->set_removed(row.removed);
    }
}

void LoadExchange::applyTables(const v1::LoadReport &report, Peer &peer)
{
    for (const v1::TableState &state : report.tables()) {
        m_state.loopWork.rows += static_cast<std::size_t>(state.rows_size());
        peer.versions[state.table()] = state.version();
        peer.ages[state.table()] = milliseconds(state.age_ms());
        // Without rows, the copy of the sender can only confirm a copy of the same version.
        TableChanges changes { state.rows_from() == 0 ? state.version() : state.rows_from(),
                               state.version(),
                               {} };
        for (const v1::TableRow &row : state.rows())
            changes.rows.push_back({ { state.table(), std::string(), row.key() },
                                     row.value(),
                                     row.version(),
                                     row.removed() });
        m_follower.applyPeerChanges(changes, state.table(), milliseconds(state.age_ms()));
    }
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

void LoadExchange::forgetTotals(const std::string &peer)
{
    m_state.peerLoads.forget(peer);
    m_state.quotas.forgetPeer(peer);
    m_state.demand.forgetPeer(peer);
    m_state.rolloutTotals.forgetPeer(peer);
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
        loads[work.server()] = { work.in_flight(), static_cast<double>(work.pending_tokens()),
                                 static_cast<double>(work.held_tokens()) };
    m_state.peerLoads.update(report.instance(), std::move(loads), now);
    m_state.quotas.updatePeerUse(
        report.instance(),
        { report.series(), report.instances(), report.heard_instances(), report.for_member() },
        ReportBook::quotaUse(report), now);
    serving::ServiceWork services;
    for (const v1::ServiceWork &each : report.services())
        services[each.service()] = each.seconds();
    m_state.demand.updatePeerWork(report.instance(), report.series(), services);
    if (m_state.rollouts.activeOrders().empty())
        return;
    serving::Totals rollouts;
    for (const v1::RolloutTotal &total : report.rollout_totals())
        rollouts[total.name()] = total.value();
    m_state.rolloutTotals.updatePeer(report.instance(), report.series(), rollouts);
}

void LoadExchange::processReport(const v1::LoadReport &report)
{
    if (report.instance().empty() || report.instance() == m_state.settings.instance)
        return;
    const SteadyTime now = m_state.clock.steadyNow();
    updatePeer(report.instance(), report.address(), { report.data_centre(), report.milli_cores() });
    m_calls.reportReceived(report.instance(), now);
    if (m_registered > 0 && m_instances.try_emplace(report.instance(), report.data_centre()).second)
        m_state.limits.setInstances(m_instances);
    Peer &peer = m_peers.at(report.instance());
    if (peer.silent)
        logEvent(events::GatewayPeerHeard,
                 { { "peer", report.instance() }, { "address", peer.address } });
    peer.silent = false;
    peer.lastReportAt = now;
    if (peer.process != report.process())
        peer.processKnownSince = now;
    peer.process = report.process();
    m_book.addReport(report, now);
    if (m_book.isCoveredByHub(report, now))
        forgetTotals(report.instance());
    else
        applyTotals(report, now);
    applyRetryCredits(report, peer);
    applyServerLimits(report);
    // The first write to the store set the offset for all, so every instance has the same.
    if (report.has_time_offset_ms() && !m_state.commonTime.offset())
        m_state.commonTime.setOffset(milliseconds(report.time_offset_ms()));
    applyUsage(report);
    applyRollouts(report);
    applyTables(report, peer);
    for (const v1::Crash &crash : report.crashes())
        m_state.crashes.addReport(
            { crash.fingerprint(), crash.server(), milliseconds(crash.age_ms()) }, now);
    if (report.holds_lease())
        m_hooks.holderReported();
}

void LoadExchange::handleReport(const v1::LoadReport &report, v1::LoadReport *reply)
{
    const SteadyTime begun = m_state.clock.steadyNow();
    processReport(report);
    if (reply != nullptr)
        *reply = reportFor(report.instance(), false);
    ++m_state.loopWork.reports;
    m_state.loopWork.reportTime += m_state.clock.steadyNow() - begun;
}

void LoadExchange::markSilent()
{
    const SteadyTime now = m_state.clock.steadyNow();
    for (auto &[name, peer] : m_peers) {
        if (peer.silent || now - peer.lastReportAt < SilentAfter)
            continue;
        peer.silent = true;
        m_state.peerLoads.forget(name);
        logEvent(events::GatewayPeerSilent, { { "peer", name }, { "address", peer.address } });
    }
}

} // namespace snipestall::gateway
