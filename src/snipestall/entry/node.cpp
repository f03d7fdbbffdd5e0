#include "snipestall/entry/node.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/policy/world.hpp"
#include "snipestall/settings/effective_settings.hpp"
#include "snipestall/wire/spawn.hpp"

#include "node_state.hpp"
#include "peer.pb.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace snipestall::entry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Time without heartbeats after which a peer is suspected. Three missed heartbeats: long enough to
/// tolerate a pause of the scheduler, and short compared to the time that a caller is willing to
/// wait.
constexpr milliseconds PeerTimeout { 3000 };
constexpr milliseconds SettingsPollInterval { 1000 };
constexpr milliseconds SettingsRereadInterval { 30000 };
constexpr milliseconds RegistrationRetryInterval { 500 };
constexpr milliseconds HousekeepingInterval { 1000 };
/// Number of instances of a data centre that read the settings head every second; two, so that one
/// may fail.
constexpr std::size_t SettingsPollers = 2;
/// Number of writes per second that all instances together may use for claims, out of the several
/// hundred that the table supports.
constexpr double ClaimWritesPerSecond = 200.0;

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

peer::PeerNetworkOptions networkOptions(const LocalSettings &local)
{
    peer::PeerNetworkOptions options;
    options.ownAddress = local.peersAdvertise.toString();
    return options;
}

std::optional<milliseconds> toMilliseconds(const std::optional<policy::Duration> &duration)
{
    if (!duration)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(*duration);
}

policy::PoolSummary toPolicy(const peer::PoolLoad &load)
{
    policy::PoolSummary pool;
    pool.service = load.service;
    pool.freeSlots = load.freeSlots;
    pool.queued = load.queued;
    pool.servers = load.servers;
    pool.wait = load.wait;
    pool.prefixSketch = load.prefixSketch;
    pool.quarantined = load.quarantined;
    pool.urgentFreeSlots = load.urgentFreeSlots;
    pool.urgentWait = load.urgentWait;
    pool.patientWait = load.patientWait;
    pool.tokenTime = load.tokenTime;
    pool.ejected = load.ejected;
    pool.failureRate = load.failureRate;
    return pool;
}

} // namespace

Node::State::State(boost::asio::io_context &context, LocalSettings settings,
                   std::uint64_t incarnationNumber)
    : io(context)
    , local(std::move(settings))
    , incarnation(incarnationNumber)
    , http(context)
    , platform(platform::HttpPlatform::create(context, local.platform, clock))
    , store(*platform, clock)
    , keeper(local.dataCentre)
    , members(local.instance, local.dataCentre, PeerTimeout)
    , dispatcher(local.instance, incarnationNumber)
    , policy(context, policy::World::create(local.dataCentre, stableHash(local.instance)),
             dispatcher)
    , backends(context, *platform, http, members, policy)
    , network(
          context, members, keeper, incarnationNumber,
          { [this] { return ownPools(); }, [this] { return backends.leavingServers(); },
            [this](const peer::LeavingServer &server) {
                backends.markLeaving(server.server, server.incarnation, milliseconds(0));
            },
            [this] { return crashes.recentReports(); },
            [this](const peer::CrashReport &report) { crashes.add(report, steady_clock::now()); },
            [this](const std::string &name) { reportPeerToPolicy(name); } },
          networkOptions(local))
    , trials(context, members, network, crashes)
    , records(context, members, network, incarnationNumber,
              [this](const peer::v1::RequestRecord &record, bool released) {
                  takeOver(record, released);
              })
    , claims(peer::ClaimKeeper::create(context, *platform, clock, local.instance))
    , steward(peer::Steward::create(context, *platform, clock, local.dataCentre, local.instance,
                                    incarnationNumber))
    , maintenance(peer::TableMaintenance::create(
          context, *claims, store, [this] { return steward->mayOrder().has_value(); }))
    , callers({ &context, &requests, &dispatcher, &keeper, &members, &network, &records },
              stableHash(local.instance) ^ std::random_device {}())
{ }

Node::State::~State() = default;

void Node::State::connect()
{
    dispatcher.connect({ &io, &requests, &policy, &backends, &http, &network, claims.get(),
                         &records, &crashes, &trials });
    keeper.subscribe([this](std::shared_ptr<const settings::EffectiveSettings> effective) {
        policy.post(policy::SettingsChanged { std::move(effective) });
        // New settings come from the table or from a peer; either source confirms them.
        callers.setReady();
    });
    members.subscribe([this](const peer::Member &member, peer::MemberState before) {
        onMemberChange(member, before);
    });
    backends.onChange([this] { network.announce(); });
    backends.onSelfLeaving([this](milliseconds notice) {
        if (!draining)
            beginDrain(notice, [] {});
    });
    for (const Seed &seed : local.seeds)
        members.addKnownMember(seed.instance, seed.dataCentre, seed.address.toString());
}

void Node::State::start()
{
    network.start();
    backends.start();
    steward->start();
    maintenance->start();
    wire::spawnLoop(
        io, [this] { return registerLoop(); }, "registration");
    wire::spawnLoop(
        io, [this] { return settingsLoop(); }, "settings");
    wire::spawnLoop(
        io, [this] { return housekeepingLoop(); }, "housekeeping");
}

void Node::State::onMemberChange(const peer::Member &member, peer::MemberState)
{
    backends.reassign();
    const auto it = peerHandles.find(member.name);
    if (member.state == peer::MemberState::Suspected)
        trials.peerLost(member.name);
    if (member.state != peer::MemberState::Live && it != peerHandles.end()) {
        policy.post(policy::PeerGone { it->second });
        peerHandles.erase(it);
    }
}

// A request stays in its data centre unless the data centre has no backend server of its service.
// Then the linked instances of other data centres are reported to the policy, for that service
// only.
void Node::State::reportPeerToPolicy(const std::string &name)
{
    const peer::Member *member = members.find(name);
    if (member == nullptr || member->state != peer::MemberState::Live)
        return;
    const bool sameDataCentre = member->dataCentre == local.dataCentre;
    policy::PeerSummary summary;
    summary.peer = handleOf(name);
    summary.name = name;
    summary.dataCentre = member->dataCentre;
    for (const peer::PoolLoad &load : member->pools) {
        if (sameDataCentre || !servedInDataCentre(load.service))
            summary.pools.push_back(toPolicy(load));
    }
    policy.post(std::move(summary));
}

// This is decided by the servers that respond, not by the platform's list. The list still contains
// servers that have crashed, and callers would wait for those while servers of another data centre
// are idle.
bool Node::State::servedInDataCentre(const std::string &service) const
{
    if (backends.hasServerUp(service))
        return true;
    const std::vector<std::string> peers = members.livePeers();
    return std::ranges::any_of(peers, [&](const std::string &name) {
        const std::vector<peer::PoolLoad> &pools = members.find(name)->pools;
        return std::ranges::any_of(pools, [&](const peer::PoolLoad &pool) {
            return pool.service == service && pool.servers > 0;
        });
    });
}

policy::PeerHandle Node::State::handleOf(const std::string &name)
{
    const auto [it, added] = peerHandles.try_emplace(name);
    if (added) {
        it->second = { ++nextPeer };
        dispatcher.addPeer(it->second, name);
    }
    return it->second;
}

std::vector<peer::PoolLoad> Node::State::ownPools() const
{
    std::vector<peer::PoolLoad> loads;
    for (policy::PoolSummary &pool : policy.maker().summaries(PolicyLoop::now())) {
        peer::PoolLoad load;
        load.service = std::move(pool.service);
        load.freeSlots = pool.freeSlots;
        load.queued = pool.queued;
        load.servers = pool.servers;
        load.wait = std::chrono::duration_cast<milliseconds>(pool.wait);
        load.prefixSketch = std::move(pool.prefixSketch);
        load.quarantined = std::move(pool.quarantined);
        load.urgentFreeSlots = pool.urgentFreeSlots;
        load.urgentWait = toMilliseconds(pool.urgentWait);
        load.patientWait = toMilliseconds(pool.patientWait);
        load.tokenTime = pool.tokenTime;
        load.ejected = pool.ejected;
        load.failureRate = pool.failureRate;
        loads.push_back(std::move(load));
    }
    return loads;
}

double Node::State::claimWriteLimit() const
{
    std::set<std::string> dataCentres { local.dataCentre };
    for (const auto &[name, member] : members.members())
        dataCentres.insert(member.dataCentre);
    const auto localInstances = static_cast<double>(members.livePeers().size() + 1);
    return ClaimWritesPerSecond / (localInstances * static_cast<double>(dataCentres.size()));
}

bool Node::State::pollsSettings() const
{
    const auto order = rendezvousOrder("settings-poller", members.owners());
    const auto end = order.begin() + static_cast<long>(std::min(order.size(), SettingsPollers));
    return std::find(order.begin(), end, local.instance) != end;
}

// Two instances of a data centre read the head every second. The others learn of a newer version
// from the next heartbeat and fetch it from the peer. In addition, every instance reads the head at
// a longer interval, so that a fault in the heartbeats cannot keep an instance on old settings.
wire::Task<void> Node::State::settingsLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        const auto now = steady_clock::now();
        const bool due = keeper.version() == 0 || pollsSettings()
            || now - lastSettingsRead > SettingsRereadInterval;
        if (due) {
            const auto version = co_await store.headVersion();
            if (version)
                lastSettingsRead = now;
            if (version && *version > keeper.version()) {
                const auto document = co_await store.head();
                if (document)
                    keeper.offer(*document);
            }
        }
        co_await wire::sleepFor(SettingsPollInterval);
    }
}

// In the cloud the platform lists its instances itself; the stand-in of the platform requires each
// instance to register.
wire::Task<void> Node::State::registerLoop()
{
    const auto self = shared_from_this();
    boost::json::object entry;
    entry["name"] = local.instance;
    entry["incarnation"] = incarnation;
    entry["role"] = "entry";
    entry["address"] = local.peersAdvertise.toString();
    entry["data_centre"] = local.dataCentre;
    entry["service"] = "";
    entry["class"] = "";
    entry["leaving"] = false;
    while (!draining) {
        wire::HttpRequest request;
        request.method = "POST";
        request.target = "/instances";
        request.body = boost::json::serialize(entry);
        const auto answer = co_await http.fetch(local.platform, std::move(request));
        const bool done = answer && answer->status < 300;
        if (done)
            co_return;
        co_await wire::sleepFor(RegistrationRetryInterval);
    }
}

wire::Task<void> Node::State::housekeepingLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        crashes.expire(steady_clock::now());
        claims->limitWrites(claimWriteLimit());
        for (const RequestPtr &expired : requests.expire(steady_clock::now()))
            records.forget(expired->spec().id);
        co_await wire::sleepFor(HousekeepingInterval);
    }
}

Node::Node(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

Node::~Node()
{
    m_state->stopped = true;
    m_state->backends.stop();
    m_state->network.stop();
}

Result<std::unique_ptr<Node>> Node::create(boost::asio::io_context &io, LocalSettings local)
{
    auto state = std::make_shared<State>(io, std::move(local), newIncarnation());
    state->connect();
    auto server = wire::HttpServer::create(io, state->local.callers, state->callers.handler());
    if (!server)
        return tl::unexpected<Error>(server.error());
    state->callerServer = std::move(*server);
    auto peers = peer::PeerServer::create(io, state->local.peers, *state);
    if (!peers)
        return tl::unexpected<Error>(peers.error());
    state->peerServer = std::move(*peers);
    return std::unique_ptr<Node>(new Node(std::move(state)));
}

void Node::start()
{
    m_state->start();
}

void Node::drain(std::optional<milliseconds> notice, std::function<void()> done)
{
    m_state->beginDrain(notice, std::move(done));
}

bool Node::draining() const
{
    return m_state->draining;
}

const LocalSettings &Node::local() const
{
    return m_state->local;
}

std::uint64_t Node::incarnation() const
{
    return m_state->incarnation;
}

const Clock &Node::clock() const
{
    return m_state->clock;
}

peer::SettingsKeeper &Node::settings()
{
    return m_state->keeper;
}

peer::SettingsStore &Node::settingsStore()
{
    return m_state->store;
}

peer::Membership &Node::members()
{
    return m_state->members;
}

peer::PeerNetwork &Node::network()
{
    return m_state->network;
}

platform::HttpPlatform &Node::platform()
{
    return *m_state->platform;
}

peer::Steward &Node::steward()
{
    return *m_state->steward;
}

BackendDirectory &Node::backends()
{
    return m_state->backends;
}

RequestStore &Node::requests()
{
    return m_state->requests;
}

Dispatcher &Node::dispatcher()
{
    return m_state->dispatcher;
}

PolicyLoop &Node::policy()
{
    return m_state->policy;
}

peer::ClaimCounters Node::claimCounters() const
{
    return m_state->claims->counters();
}

} // namespace snipestall::entry
