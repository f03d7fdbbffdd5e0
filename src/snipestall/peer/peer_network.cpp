#include "snipestall/peer/peer_network.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/peer_client.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include "peer.pb.h"

#include <set>
#include <utility>

namespace snipestall::peer {

namespace {

constexpr std::chrono::milliseconds SettingsTimeout { 3000 };

std::vector<PoolLoad>
decodePools(const google::protobuf::RepeatedPtrField<v1::PoolSummary> &summaries)
{
    std::vector<PoolLoad> pools;
    pools.reserve(static_cast<std::size_t>(summaries.size()));
    for (const v1::PoolSummary &summary : summaries) {
        PoolLoad pool;
        pool.service = summary.service();
        pool.freeSlots = summary.free_slots();
        pool.queued = summary.queued();
        pool.servers = summary.servers();
        pool.wait = std::chrono::milliseconds(summary.wait_ms());
        pool.prefixSketch.assign(summary.prefix_sketch().begin(), summary.prefix_sketch().end());
        pool.quarantined.assign(summary.quarantined().begin(), summary.quarantined().end());
        pool.urgentFreeSlots = summary.urgent_free_slots();
        if (summary.has_urgent_wait_ms())
            pool.urgentWait = std::chrono::milliseconds(summary.urgent_wait_ms());
        if (summary.has_patient_wait_ms())
            pool.patientWait = std::chrono::milliseconds(summary.patient_wait_ms());
        pool.tokenTime = std::chrono::microseconds(summary.token_time_us());
        pool.ejected = summary.ejected();
        pool.failureRate = summary.failure_rate();
        pools.push_back(std::move(pool));
    }
    return pools;
}

template<typename Message>
void addPools(const std::vector<PoolLoad> &pools, Message &message)
{
    for (const PoolLoad &pool : pools) {
        v1::PoolSummary *summary = message.add_pools();
        summary->set_service(pool.service);
        summary->set_free_slots(pool.freeSlots);
        summary->set_queued(pool.queued);
        summary->set_servers(pool.servers);
        summary->set_wait_ms(static_cast<std::uint32_t>(pool.wait.count()));
        for (const std::uint32_t prefix : pool.prefixSketch)
            summary->add_prefix_sketch(prefix);
        for (const std::uint64_t fingerprint : pool.quarantined)
            summary->add_quarantined(fingerprint);
        summary->set_urgent_free_slots(pool.urgentFreeSlots);
        if (pool.urgentWait)
            summary->set_urgent_wait_ms(static_cast<std::uint32_t>(pool.urgentWait->count()));
        if (pool.patientWait)
            summary->set_patient_wait_ms(static_cast<std::uint32_t>(pool.patientWait->count()));
        summary->set_token_time_us(static_cast<std::uint32_t>(pool.tokenTime.count()));
        summary->set_ejected(pool.ejected);
        summary->set_failure_rate(static_cast<float>(pool.failureRate));
    }
}

template<typename Message>
void addLeavingServers(const std::vector<LeavingServer> &servers, Message &message)
{
    for (const LeavingServer &server : servers) {
        v1::LeavingServer *entry = message.add_leaving_servers();
        entry->set_server(server.server);
        entry->set_incarnation(server.incarnation);
    }
}

template<typename Message>
void addCrashes(const std::vector<CrashReport> &reports, Message &message)
{
    for (const CrashReport &report : reports) {
        v1::CrashReport *entry = message.add_crashes();
        entry->set_fingerprint(report.fingerprint);
        entry->set_server(report.server);
    }
}

} // namespace

struct PeerNetwork::Channel
{
    std::string address;
    std::unique_ptr<PeerClient> client;
    std::chrono::steady_clock::time_point lastExchange;
    bool exchanging = false;
};

PeerNetwork::PeerNetwork(boost::asio::io_context &io, Membership &members, SettingsKeeper &settings,
                         std::uint64_t incarnation, Hooks hooks, PeerNetworkOptions options)
    : m_io(io)
    , m_members(members)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_hooks(std::move(hooks))
    , m_options(std::move(options))
{ }

PeerNetwork::~PeerNetwork()
{
    *m_alive = false;
}

void PeerNetwork::start()
{
    wire::spawnLoop(
        m_io, [this] { return heartbeatLoop(); }, "heartbeat");
}

void PeerNetwork::stop()
{
    *m_alive = false;
}

void PeerNetwork::announce()
{
    sendHeartbeats(true);
}

wire::Task<void> PeerNetwork::heartbeatLoop()
{
    const auto alive = m_alive;
    while (*alive) {
        m_members.tick(std::chrono::steady_clock::now());
        sendHeartbeats(false);
        co_await wire::sleepFor(m_options.interval);
    }
}

std::vector<std::string> PeerNetwork::targets() const
{
    std::vector<std::string> names;
    std::set<std::string> otherDataCentres;
    for (const auto &[name, member] : m_members.members()) {
        if (member.dataCentre == m_members.dataCentre())
            names.push_back(name);
        else
            otherDataCentres.insert(member.dataCentre);
    }
    for (const std::string &dataCentre : otherDataCentres) {
        const auto candidates = m_members.membersOf(dataCentre);
        const auto order = rendezvousOrder(m_members.self(), candidates);
        const std::size_t links = std::min(order.size(), m_options.linksPerDataCentre);
        names.insert(names.end(), order.begin(), order.begin() + static_cast<long>(links));
    }
    return names;
}

// One exchange transfers the state of both sides, so a peer that has called recently is not called
// back within the interval. This halves the control bytes of a data centre.
void PeerNetwork::sendHeartbeats(bool all)
{
    const auto now = std::chrono::steady_clock::now();
    for (const std::string &name : targets()) {
        if (client(name) == nullptr)
            continue;
        const Channel &channel = *m_channels[name];
        const Member *member = m_members.find(name);
        const bool hasReportedRecently = now - member->lastHeartbeat < m_options.interval / 2;
        if (channel.exchanging || (hasReportedRecently && !all))
            continue;
        wire::spawn(m_io, exchange(name), "exchange");
    }
}

PeerClient *PeerNetwork::client(const std::string &name)
{
    const Member *member = m_members.find(name);
    if (member == nullptr || member->address.empty())
        return nullptr;
    auto &channel = m_channels[name];
    if (!channel)
        channel = std::make_unique<Channel>();
    if (channel->address != member->address && !channel->exchanging) {
        channel->address = member->address;
        channel->client = std::make_unique<PeerClient>(m_io, member->address);
    }
    return channel->client.get();
}

wire::Task<void> PeerNetwork::exchange(std::string name)
{
    const auto alive = m_alive;
    Channel &channel = *m_channels[name];
    channel.exchanging = true;
    auto reply = co_await channel.client->heartbeat(makeHeartbeat(), m_options.timeout);
    if (!*alive)
        co_return;
    channel.exchanging = false;
    if (!reply)
        co_return;
    Heartbeat heartbeat;
    heartbeat.name = reply->instance();
    heartbeat.dataCentre = m_members.find(name)->dataCentre;
    applyHeartbeat(*reply, heartbeat);
}

v1::HeartbeatRequest PeerNetwork::makeHeartbeat() const
{
    v1::HeartbeatRequest request;
    request.set_instance(m_members.self());
    request.set_data_centre(m_members.dataCentre());
    request.set_incarnation(m_incarnation);
    request.set_leaving(m_members.selfLeaving());
    request.set_settings_version(m_settings.version());
    addPools(m_hooks.pools(), request);
    addLeavingServers(m_hooks.leavingServers(), request);
    addCrashes(m_hooks.crashes(), request);
    request.set_address(m_options.ownAddress);
    return request;
}

v1::HeartbeatReply PeerNetwork::onHeartbeat(const v1::HeartbeatRequest &request)
{
    Heartbeat heartbeat;
    heartbeat.name = request.instance();
    heartbeat.dataCentre = request.data_centre();
    applyHeartbeat(request, heartbeat);
    v1::HeartbeatReply reply;
    reply.set_instance(m_members.self());
    reply.set_incarnation(m_incarnation);
    reply.set_leaving(m_members.selfLeaving());
    reply.set_settings_version(m_settings.version());
    addPools(m_hooks.pools(), reply);
    addLeavingServers(m_hooks.leavingServers(), reply);
    addCrashes(m_hooks.crashes(), reply);
    reply.set_address(m_options.ownAddress);
    return reply;
}

template<typename Message>
void PeerNetwork::applyHeartbeat(const Message &message, const Heartbeat &sender)
{
    Heartbeat heartbeat = sender;
    heartbeat.incarnation = message.incarnation();
    heartbeat.leaving = message.leaving();
    heartbeat.settingsVersion = message.settings_version();
    heartbeat.pools = decodePools(message.pools());
    heartbeat.address = message.address();
    m_members.heartbeatReceived(heartbeat, std::chrono::steady_clock::now());
    m_hooks.onHeartbeatApplied(heartbeat.name);
    for (const v1::LeavingServer &server : message.leaving_servers())
        m_hooks.onLeavingServer({ server.server(), server.incarnation() });
    for (const v1::CrashReport &report : message.crashes())
        m_hooks.onCrash({ report.fingerprint(), report.server() });
    if (message.settings_version() > m_settings.version() && !m_fetching)
        wire::spawn(m_io, fetchSettings(heartbeat.name), "settings-fetch");
}

wire::Task<void> PeerNetwork::fetchSettings(std::string name)
{
    PeerClient *peer = client(name);
    if (peer == nullptr)
        co_return;
    const auto alive = m_alive;
    m_fetching = true;
    v1::FetchSettingsRequest request;
    request.set_newer_than(m_settings.version());
    auto reply = co_await peer->fetchSettings(request, SettingsTimeout);
    if (!*alive)
        co_return;
    m_fetching = false;
    if (!reply || reply->version() == 0)
        co_return;
    SettingsDocument document;
    document.version = reply->version();
    document.hash = reply->hash();
    document.yaml = reply->yaml();
    m_settings.offer(document);
}

} // namespace snipestall::peer
