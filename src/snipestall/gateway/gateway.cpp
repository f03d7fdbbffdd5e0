#include "snipestall/gateway/gateway.hpp"

#include "platform/store_client.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/blocked_part_registrar.hpp"
#include "snipestall/gateway/caller_listener.hpp"
#include "snipestall/gateway/connection_registry.hpp"
#include "snipestall/gateway/duty_runner.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/load_exchange.hpp"
#include "snipestall/gateway/loop_watch.hpp"
#include "snipestall/gateway/notice_recorder.hpp"
#include "snipestall/gateway/origin_resolver.hpp"
#include "snipestall/gateway/reach_prober.hpp"
#include "snipestall/gateway/rollout_runner.hpp"
#include "snipestall/gateway/store_follower.hpp"
#include "snipestall/gateway/stream_group_store.hpp"
#include "snipestall/gateway/version_registrar.hpp"
#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <random>
#include <utility>
#include <vector>

namespace snipestall::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using wire::Task;

namespace {

constexpr milliseconds HousekeepingInterval { 250 };
/// Much shorter than any target latency.
constexpr milliseconds AttemptCheckInterval { 50 };
constexpr milliseconds VersionsTick { 50 };
constexpr milliseconds StreamGroupsTick { 20 };
constexpr milliseconds BlockedPartsTick { 50 };
constexpr milliseconds DrainTick { 50 };
constexpr milliseconds EndTick { 10 };

/// Limits of a port whose requests have no body, and which the platform alone calls.
wire::HttpServerOptions platformPort()
{
    wire::HttpServerOptions options;
    options.maxBody = 0;
    options.connectionLimit = 64;
    return options;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

struct Gateway::Parts
{
    Parts(asio::io_context &io, GatewaySettings settings)
        : state(io, std::move(settings), randomSeed())
        , store(io, state.settings.store)
        , follower(state, store)
        , duties(state, store)
        , rollouts(state, store,
                   { [this] { return duties.holdsLease(); },
                     [this] { return duties.fencingToken(); },
                     [this](const std::string &service) {
                         return exchange->rolloutFollowedByAll(service);
                     } })
        , versions(
              state, store,
              { [this] { return follower.readsList(); }, [this] { return duties.holdsLease(); } })
        , streamGroups(state, store,
                       { [this] { return exchange->holdsRecords(); },
                         [this] { return exchange->hasMembers(); },
                         [this] { return duties.holdsLease(); } })
        , blockedParts(state, store, [this] { return follower.readsList(); })
        , loopWatch(state)
        , reachProber(state)
    { }

    [[nodiscard]] bool ready() const
    {
        return !state.draining() && state.catalogue && state.serverListKnown;
    }

    [[nodiscard]] std::vector<CallerListener *> listeners() const
    {
        if (instances)
            return { callers.get(), instances.get() };
        return { callers.get() };
    }
    [[nodiscard]] std::size_t connections() const
    {
        std::size_t count = 0;
        for (const CallerListener *listener : listeners())
            count += listener->connections();
        return count;
    }
    void stopAccepting()
    {
        for (CallerListener *listener : listeners()) {
            listener->stopReading();
            listener->stopAccepting();
        }
    }
    void closeIdle()
    {
        for (CallerListener *listener : listeners())
            listener->closeIdle();
    }

    Task<void> housekeeping();
    Task<void> watchAttempts();
    Task<void> probeReach();
    Task<void> runRollouts();
    Task<void> registerVersions();
    Task<void> storeStreamGroups();
    Task<void> registerBlockedParts();
    Task<void> drain();
    /// Removes this instance from the store and stores its counts.
    Task<void> leaveFleet();
    Task<void> storeLastCounts();
    void logRefusing();

    GatewayState state;
    platform::StoreClient store;
    StoreFollower follower;
    DutyRunner duties;
    RolloutRunner rollouts;
    VersionRegistrar versions;
    StreamGroupStore streamGroups;
    BlockedPartRegistrar blockedParts;
    LoopWatch loopWatch;
    ReachProber reachProber;
    std::unique_ptr<LoadExchange> exchange;
    std::unique_ptr<OriginResolver> originResolver;
    std::unique_ptr<CallerListener> callers;
    /// Takes requests that other instances forward; null if this instance takes none.
    std::unique_ptr<CallerListener> instances;
    std::unique_ptr<wire::HttpServer> readiness;
    std::unique_ptr<wire::HttpServer> metrics;
    bool probing = false;
    bool leftFleet = false;
    bool countsStored = false;
    bool refusalLogged = false;
};

Gateway::Gateway(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{ }

Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::create(asio::io_context &io, GatewaySettings settings)
{
    auto parts = std::make_unique<Parts>(io, std::move(settings));
    Parts *raw = parts.get();
    LoadExchange::Hooks hooks { [raw] { return raw->duties.holdsLease(); },
                                [raw] { raw->duties.holderReported(); },
                                [raw](bool candidate) { raw->duties.setCandidate(candidate); },
                                [raw] { raw->streamGroups.streamUnknown(); } };
    auto exchange = LoadExchange::create(raw->state, raw->store, raw->follower, std::move(hooks));
    if (!exchange)
        return tl::unexpected<Error>(exchange.error());
    raw->exchange = std::move(*exchange);
    raw->originResolver = std::make_unique<OriginResolver>(raw->state, raw->versions,
                                                           *raw->exchange, raw->streamGroups);
    raw->state.originResolver = raw->originResolver.get();
    auto callers =
        CallerListener::create(raw->state, raw->state.settings.callers, RequestOrigin::Caller);
    if (!callers)
        return tl::unexpected<Error>(callers.error());
    raw->callers = std::move(*callers);
    if (const std::uint16_t port = raw->state.settings.forwardPort; port != 0) {
        auto instances = CallerListener::create(raw->state, { raw->state.settings.address, port },
                                                RequestOrigin::Instance);
        if (!instances)
            return tl::unexpected<Error>(instances.error());
        raw->instances = std::move(*instances);
    }
    auto readiness = wire::HttpServer::create(
        io, raw->state.settings.readiness,
        [raw](wire::HttpExchange &exchange) -> Task<void> {
            wire::HttpResponse response;
            response.status = raw->ready() ? 200 : 503;
            co_await exchange.respond(std::move(response));
        },
        platformPort());
    if (!readiness)
        return tl::unexpected<Error>(readiness.error());
    raw->readiness = std::move(*readiness);
    const wire::Endpoint metricsAddress { raw->state.settings.address,
                                          raw->state.settings.metricsPort };
    auto metrics = wire::HttpServer::create(
        io, metricsAddress,
        [raw](wire::HttpExchange &exchange) -> Task<void> {
            wire::HttpResponse response;
            response.fields.set("Content-Type", "text/plain; version=0.0.4");
            response.body = raw->state.metrics.render(raw->state);
            co_await exchange.respond(std::move(response));
        },
        platformPort());
    if (!metrics)
        return tl::unexpected<Error>(metrics.error());
    raw->metrics = std::move(*metrics);
    return std::unique_ptr<Gateway>(new Gateway(std::move(parts)));
}

void Gateway::start()
{
    asio::io_context &io = m_parts->state.io;
    m_parts->follower.start([] {});
    m_parts->exchange->start();
    m_parts->duties.start();
    if (m_parts->state.rollouts.enabled())
        wire::spawnLoop(
            io, [parts = m_parts.get()] { return parts->runRollouts(); }, "rollouts");
    wire::spawnLoop(
        io, [parts = m_parts.get()] { return parts->registerVersions(); }, "versions");
    wire::spawnLoop(
        io, [parts = m_parts.get()] { return parts->storeStreamGroups(); }, "stream-groups");
    wire::spawnLoop(
        io, [parts = m_parts.get()] { return parts->registerBlockedParts(); }, "blocked-parts");
    for (CallerListener *listener : m_parts->listeners())
        listener->start();
    m_parts->loopWatch.start();
    wire::spawnLoop(
        io, [parts = m_parts.get()] { return parts->housekeeping(); }, "housekeeping");
    wire::spawnLoop(
        io, [parts = m_parts.get()] { return parts->watchAttempts(); }, "attempts");
}

Task<void> Gateway::Parts::watchAttempts()
{
    while (true) {
        const SteadyTime due = state.clock.steadyNow() + AttemptCheckInterval;
        co_await wire::sleepFor(AttemptCheckInterval);
        // Data that servers have sent since `due` may still be waiting to be read after this check.
        state.attempts.check(due);
        state.streams.check(state.clock.steadyNow());
        if (!probing && reachProber.isDue())
            wire::spawn(state.io, probeReach(), "reach");
    }
}

Task<void> Gateway::Parts::probeReach()
{
    probing = true;
    const std::shared_ptr<void> end(nullptr, [this](void *) { probing = false; });
    co_await reachProber.probe();
}

Task<void> Gateway::Parts::runRollouts()
{
    while (true) {
        co_await rollouts.tick();
        co_await wire::sleepFor(serving::PeerCalls::Interval);
    }
}

Task<void> Gateway::Parts::registerVersions()
{
    while (true) {
        co_await versions.tick();
        co_await wire::sleepFor(VersionsTick);
    }
}

Task<void> Gateway::Parts::storeStreamGroups()
{
    while (true) {
        co_await streamGroups.tick();
        co_await wire::sleepFor(StreamGroupsTick);
    }
}

Task<void> Gateway::Parts::registerBlockedParts()
{
    while (true) {
        co_await blockedParts.tick();
        co_await wire::sleepFor(BlockedPartsTick);
    }
}

Task<void> Gateway::Parts::housekeeping()
{
    bool wasReady = false;
    bool compareNow = false;
    while (true) {
        follower.updateExpiredServers();
        endRests(state);
        state.peerLoads.expire(state.clock.steadyNow());
        // Comparing thousands of servers takes milliseconds of a small instance.
        compareNow = !compareNow;
        if (compareNow)
            state.servers.compareServers(state.peerLoads, state.clock.steadyNow());
        state.updateShares();
        state.backends.prune(state.clock.steadyNow());
        state.connections->limitUnread();
        if (ready() != wasReady) {
            wasReady = !wasReady;
            logEvent(events::GatewayReady, { { "ready", wasReady ? "yes" : "no" } });
        }
        co_await wire::sleepFor(HousekeepingInterval);
    }
}

void Gateway::drain()
{
    GatewayState &state = m_parts->state;
    if (state.draining())
        return;
    state.shutdown.emplace(state.loopLag.earliestArrival(), state.settings.bounds.grace);
    logEvent(events::ProcessStopping, { { "requests", std::to_string(state.requestsInFlight) } });
    for (const CallerListener *listener : m_parts->listeners())
        listener->recordRunning();
    wire::spawnLoop(
        state.io, [parts = m_parts.get()] { return parts->leaveFleet(); }, "leave-fleet");
    wire::spawnLoop(
        state.io, [parts = m_parts.get()] { return parts->drain(); }, "drain");
}

Task<void> Gateway::Parts::leaveFleet()
{
    co_await exchange->leave();
    co_await duties.leave();
    leftFleet = true;
}

Task<void> Gateway::Parts::drain()
{
    while (!state.shutdown->mustAnswer(state.clock.steadyNow(), state.loopLag.last())) {
        if (!state.takesWork()) {
            logRefusing();
            closeIdle();
            if (connections() == 0)
                break;
        }
        co_await wire::sleepFor(DrainTick);
    }
    for (CallerListener *listener : listeners())
        listener->cancelRequests();
    wire::spawnLoop(
        state.io, [this] { return storeLastCounts(); }, "last-counts");
    bool accepting = true;
    const auto mayEnd = [this] { return countsStored && connections() == 0; };
    while ((accepting || !mayEnd())
           && !state.shutdown->mustEnd(state.clock.steadyNow(), state.loopLag.last())) {
        // Callers that connect until the very end would be reset.
        if (accepting
            && (mayEnd()
                || state.shutdown->mustAnswer(state.clock.steadyNow(), state.loopLag.last()))) {
            stopAccepting();
            accepting = false;
        }
        // Connections that were accepted last may have sent a part of a request only now.
        if (!accepting)
            for (CallerListener *listener : listeners())
                listener->stopReading();
        closeIdle();
        co_await wire::sleepFor(EndTick);
    }
    for (const CallerListener *listener : listeners())
        listener->logUnanswered();
    logEvent(events::ProcessStopped, { { "requests", std::to_string(state.requestsInFlight) } });
    state.io.stop();
}

Task<void> Gateway::Parts::storeLastCounts()
{
    while (!leftFleet)
        co_await wire::sleepFor(EndTick);
    // Stores the counts of the requests that began meanwhile.
    co_await duties.leave();
    countsStored = true;
}

void Gateway::Parts::logRefusing()
{
    if (std::exchange(refusalLogged, true))
        return;
    const auto since = state.clock.steadyNow() - state.shutdown->signalled();
    logEvent(events::ShutdownRefuses, { { "after_ms", std::to_string(toMillis(since)) } });
}

void Gateway::settingsChanged(const GatewaySettings &settings)
{
    m_parts->state.settings.bounds = settings.bounds;
    logEvent(events::SettingsApplied, { { "file", "local" } });
}

} // namespace snipestall::gateway
