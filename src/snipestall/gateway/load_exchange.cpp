#include "snipestall/gateway/load_exchange.hpp"

#include "platform/store_client.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/gateway/exchange_transport.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/instance_row.hpp"
#include "snipestall/gateway/store_follower.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include "exchange.pb.h"

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
/// Limits the number of log lines while peers do not answer.
constexpr milliseconds WorkLogInterval { 1000 };

} // namespace

LoadExchange::LoadExchange(GatewayState &state, platform::StoreClient &store,
                           StoreFollower &follower, Hooks hooks)
    : m_state(state)
    , m_store(store)
    , m_follower(follower)
    , m_hooks(std::move(hooks))
    , m_calls(state.settings.instance, { state.settings.dataCentre, state.settings.milliCores })
    , m_tables(state.settings.instance, state.settings.dataCentre, state.random.next())
    , m_streams(state.streamRecords)
{
    m_tables.addTable(follower.config());
    m_tables.addTable(follower.list());
    m_book.setContact(state.settings.bounds.contact);
}

LoadExchange::~LoadExchange() = default;

Result<std::unique_ptr<LoadExchange>> LoadExchange::create(GatewayState &state,
                                                           platform::StoreClient &store,
                                                           StoreFollower &follower, Hooks hooks)
{
    std::unique_ptr<LoadExchange> exchange(
        new LoadExchange(state, store, follower, std::move(hooks)));
    ExchangeServer::Handlers handlers;
    handlers.report = [raw = exchange.get()](const v1::LoadReport &report, v1::LoadReport *reply) {
        raw->handleReport(report, reply);
    };
    handlers.changes = [raw = exchange.get()](const v1::ChangesRequest &request,
                                              v1::ChangesAnswer *answer) {
        raw->answerChanges(request, answer);
    };
    handlers.streams = [raw = exchange.get()](const v1::StreamQuery &query,
                                              v1::StreamAnswer *answer) {
        if (answer == nullptr)
            return;
        if (!raw->m_streams.answer(query.key(), *answer, raw->m_state.clock.steadyNow()))
            raw->m_hooks.streamUnknown();
    };
    auto server = ExchangeServer::create(state.io, exchange->ownAddress(), std::move(handlers));
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
    wire::spawnLoop(
        m_state.io, [this] { return registerLoop(); }, "registration");
    wire::spawnLoop(
        m_state.io, [this] { return exchangeLoop(); }, "exchange");
}

std::size_t LoadExchange::instances() const
{
    return m_book.instances(m_state.clock.steadyNow());
}

Task<bool> LoadExchange::registerSelf()
{
    const platform::RowName name { InstancesTable, std::string(), m_state.settings.instance };
    const GatewaySettings &own = m_state.settings;
    const InstanceRow row { own.dataCentre, ownAddress(), own.milliCores, own.forwardPort };
    std::vector<platform::RowWrite> writes { { name, encodeInstance(row) } };
    const auto written = co_await m_store.write({}, std::move(writes), StoreTimeout);
    co_return written.has_value();
}

void LoadExchange::updatePeer(const std::string &name, const std::string &address,
                              const serving::OverlayPeer &overlayPeer, std::uint32_t forwardPort)
{
    m_calls.addPeer(name, overlayPeer);
    std::optional<wire::Endpoint> forwardAddress;
    if (const auto parsed = wire::Endpoint::parse(address); parsed && forwardPort != 0)
        forwardAddress = { parsed->host, static_cast<std::uint16_t>(forwardPort) };
    m_state.forwardTargets.setInstance(name, forwardAddress, overlayPeer.dataCentre,
                                       overlayPeer.milliCores);
    Peer &peer = m_peers[name];
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
    m_instances = { { m_state.settings.instance, m_state.settings.dataCentre } };
    m_state.quotas.setRegisteredInstances(std::max<std::size_t>(rows->rows.size(), 1));
    for (const platform::StoredRow &row : rows->rows) {
        const auto instance = decodeInstance(row.value);
        if (row.name.key == m_state.settings.instance || !instance)
            continue;
        m_instances[row.name.key] = instance->dataCentre;
        updatePeer(row.name.key, instance->address, { instance->dataCentre, instance->milliCores },
                   instance->forwardPort);
    }
    setInstances();
    updateRetryShare();
    co_return true;
}

void LoadExchange::setInstances()
{
    m_state.limits.setInstances(m_instances);
    m_state.slotShares.setInstances(m_instances);
    m_state.forwardTargets.keepOnly(m_instances);
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
        fetchChanges();
        markSilent();
        logWork(m_state.clock.steadyNow());
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
    recordSent(report);
    peer.channel->send(report, CallTimeout,
                       [this, name, now](const Result<const v1::LoadReport *> &answer) {
                           recordAnswer(answer, m_state.clock.steadyNow() - now);
                           if (!answer) {
                               handleUnanswered(name);
                               return;
                           }
                           m_calls.callAnswered(name);
                           handleReport(**answer, nullptr);
                       });
}

void LoadExchange::recordSent(const v1::LoadReport &report)
{
    const std::size_t bytes = report.ByteSizeLong();
    m_work.bytes += bytes;
    m_work.largest = std::max(m_work.largest, bytes);
    for (const v1::TableState &state : report.tables())
        m_work.rowBytes += state.changes().size();
}

void LoadExchange::recordAnswer(const Result<const v1::LoadReport *> &answer,
                                SteadyTime::duration passed)
{
    ++m_work.calls;
    m_work.slowestAnswer = std::max(m_work.slowestAnswer, passed);
    if (answer)
        return;
    const bool isLate = answer.error().kind == ErrorKind::DeadlineExceeded;
    ++(isLate ? m_work.late : m_work.disconnected);
}

void LoadExchange::logWork(SteadyTime now)
{
    if (now < m_nextWorkLog)
        return;
    m_nextWorkLog = now + WorkLogInterval;
    const ExchangeWork work = std::exchange(m_work, {});
    if (work.late + work.disconnected == 0)
        return;
    logEvent(events::ReportsUnanswered,
             { { "calls", std::to_string(work.calls) },
               { "late", std::to_string(work.late) },
               { "disconnected", std::to_string(work.disconnected) },
               { "slowest_ms", std::to_string(toMillis(work.slowestAnswer)) },
               { "bytes", std::to_string(work.bytes) },
               { "largest", std::to_string(work.largest) },
               { "row_bytes", std::to_string(work.rowBytes) },
               { "hub", m_calls.overlay().isHub() ? m_state.settings.instance : m_hub } });
}

void LoadExchange::handleUnanswered(const std::string &peer)
{
    // The answer may have arrived, but not been read yet.
    if (m_state.loopLag.last() >= serving::LoopLag::LateThreshold)
        m_calls.callAbandoned(peer);
    else
        m_calls.callFailed(peer, m_state.clock.steadyNow());
}

void LoadExchange::updateRetryShare()
{
    // An instance that can't be reached may still serve, so it counts as long as it is registered.
    // One that has started since the table was read reports itself.
    if (!m_instances.empty())
        m_state.retries.setInstances(std::max(m_instances.size(), instances()),
                                     m_state.clock.steadyNow());
    m_state.unseen.setInstances(instances());
}

std::uint64_t LoadExchange::rolloutFollowedByAll(const std::string &service) const
{
    return m_book.followedByAll(service, m_state.clock.steadyNow());
}

bool LoadExchange::holdsRecords()
{
    // Before the other instances are known, each would consider itself the only one.
    if (!m_state.instancesKnown)
        return false;
    m_calls.updateOverlay();
    return m_calls.overlay().isHub() || hasMembers();
}

bool LoadExchange::hasMembers() const
{
    return m_book.hasMembers(m_state.clock.steadyNow());
}

std::vector<std::string> LoadExchange::recordHolders()
{
    m_calls.updateOverlay();
    const serving::Overlay &overlay = m_calls.overlay();
    std::vector<std::string> names =
        rendezvousOrder(std::to_string(m_state.random.next()), overlay.hubs());
    // Processes that have run for longer have heard of more streams. Those that this instance has
    // not heard itself, as it is no hub, come last in any order.
    const auto orderOf = [this](const std::string &name) {
        const auto found = m_peers.find(name);
        const bool isHeard = found != m_peers.end() && !found->second.silent;
        return std::pair(!isHeard, isHeard ? found->second.processKnownSince : SteadyTime::max());
    };
    std::ranges::stable_sort(names, {}, orderOf);
    return names;
}

void LoadExchange::findStream(const std::string &instance, std::uint64_t key, milliseconds timeout,
                              ExchangeChannel::Done<v1::StreamAnswer> done) const
{
    const auto found = m_peers.find(instance);
    if (found == m_peers.end()) {
        done(fail(ErrorKind::NotFound, "no instance " + instance + "; ask another one"));
        return;
    }
    v1::StreamQuery query;
    query.set_key(key);
    found->second.channel->find(query, timeout, std::move(done));
}

void LoadExchange::forgetTotals(const std::string &peer)
{
    m_state.peerLoads.forget(peer);
    m_state.quotas.forgetPeer(peer);
    m_state.demand.forgetPeer(peer);
    m_state.rolloutTotals.forgetPeer(peer);
}

void LoadExchange::processReport(const v1::LoadReport &report)
{
    if (report.instance().empty() || report.instance() == m_state.settings.instance)
        return;
    const SteadyTime now = m_state.clock.steadyNow();
    updatePeer(report.instance(), report.address(), { report.data_centre(), report.milli_cores() },
               report.forward_port());
    m_calls.reportReceived(report.instance(), now);
    if (!m_instances.empty()
        && m_instances.try_emplace(report.instance(), report.data_centre()).second)
        setInstances();
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
    applyLeavingServers(report);
    applyCutOffs(report);
    applyRejectionReports(report);
    // The first write to the store set the offset for all, so every instance has the same.
    if (report.has_time_offset_ms() && !m_state.commonTime.offset())
        m_state.commonTime.setOffset(milliseconds(report.time_offset_ms()));
    applyUsage(report);
    applyRollouts(report);
    applyTables(report);
    m_streams.reportReceived(report, now);
    applyCrashes(report);
    if (report.holds_lease())
        m_hooks.holderReported();
}

void LoadExchange::handleReport(const v1::LoadReport &report, v1::LoadReport *reply)
{
    const SteadyTime begun = m_state.clock.steadyNow();
    processReport(report);
    if (reply != nullptr) {
        *reply = reportFor(report.instance(), false);
        recordSent(*reply);
    }
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
