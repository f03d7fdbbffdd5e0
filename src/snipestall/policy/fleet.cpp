#include "snipestall/policy/fleet.hpp"

#include "snipestall/policy/isolation.hpp"
#include "snipestall/policy/limits.hpp"
#include "snipestall/policy/state.hpp"
#include "snipestall/policy/stranded.hpp"
#include "snipestall/policy/stream_move.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy {
namespace {

void configureServices(State &state)
{
    for (auto &[name, pool] : state.pools)
        pool.configured = false;
    for (const settings::ServiceSettings &service : state.settings->services) {
        Pool &pool = state.pool(service.service);
        pool.settings = service;
        pool.configured = true;
        pool.index.configure(state.settings->classes);
        state.markChanged(pool);
    }
}

void configureLeaves(State &state)
{
    for (auto &[name, pool] : state.pools) {
        for (auto &[customer, flow] : pool.flows)
            flow->configured = false;
    }
    for (const settings::LeafSettings &leaf : state.settings->leaves) {
        Pool &pool = state.pool(leaf.service);
        Flow &flow = state.flow(pool, leaf.customer);
        flow.configured = true;
        pool.queue.configure(flow, leaf);
        configureLimits(state, flow);
    }
}

void divideLimits(State &state)
{
    for (auto &[name, pool] : state.pools) {
        for (auto &[customer, flow] : pool.flows)
            configureLimits(state, *flow);
    }
}

void eraseServer(State &state, Server &server)
{
    Pool &pool = *server.pool;
    pool.index.erase(server);
    pool.probing.erase(server.handle);
    pool.servers.erase(server.handle);
    state.servers.erase(server.handle);
}

Server &addServer(State &state, const ServerUp &event)
{
    Server &server = state.servers[event.server];
    server.handle = event.server;
    server.pool = &state.pool(event.service);
    server.dataCentre = event.dataCentre;
    server.instanceClass = event.instanceClass;
    server.leaving = state.departed.contains(event.server);
    server.limit = event.slots;
    server.pool->servers[event.server] = &server;
    return server;
}

} // namespace

void onSettingsChanged(State &state, const SettingsChanged &event)
{
    if (!event.settings)
        return;
    state.settings = event.settings;
    configureServices(state);
    configureLeaves(state);
}

void onServerUp(State &state, const ServerUp &event)
{
    Server *known = state.findServer(event.server);
    Server &server = known ? *known : addServer(state, event);
    const bool unadapted = server.limit == server.slots;
    server.slots = event.slots;
    server.limit = unadapted ? event.slots : std::min(server.limit, event.slots);
    server.gone = false;
    server.pool->index.update(server);
    state.markChanged(*server.pool);
}

void onServerLeaving(State &state, const ServerLeaving &event)
{
    // The platform's list lags and may report the server as up again after its notice. Work would
    // then be sent to a server in its last seconds, so leaving holds for the whole incarnation.
    state.departed.insert(event.server);
    Server *server = state.findServer(event.server);
    if (!server)
        return;
    if (!server->leaving)
        server->pool->index.recordReclaim(state.now, *server);
    server->leaving = true;
    server->noticeEnds = state.now + event.notice;
    server->noticeHalf = state.now + event.notice / 2;
    state.notices.add(server->noticeHalf, server->handle);
    cancelIsolation(state, *server);
    server->pool->index.update(*server);
    planMoves(state, *server);
    state.markChanged(*server->pool);
}

void onServerGone(State &state, const ServerGone &event)
{
    Server *server = state.findServer(event.server);
    if (!server)
        return;
    server->gone = true;
    cancelIsolation(state, *server);
    server->pool->prefixes.forget(event.server);
    server->pool->index.update(*server);
    state.markChanged(*server->pool);
    // Attempts that still run there end by their own events; the row stays until then.
    Pool &pool = *server->pool;
    const bool announced = server->leaving;
    if (server->running() == 0)
        eraseServer(state, *server);
    // After a wave of reclaims with notice, the homes are as short of servers as this instance. If
    // all requests were refused back to them at once, they would crowd out new requests (68%
    // instead of the required 80% of normal requests would meet their target).
    if (announced || hasServer(pool))
        return;
    pool.lostLastServer = true;
    releaseStranded(state, pool);
}

void onPeerSummary(State &state, const PeerSummary &event)
{
    const std::uint32_t before = state.peers.peersIn(state.dataCentre);
    state.peers.update(state.now, event);
    if (state.peers.peersIn(state.dataCentre) != before)
        divideLimits(state);
    for (const PoolSummary &summary : event.pools) {
        for (const std::uint64_t fingerprint : summary.quarantined)
            state.crashes.quarantine(state.now, fingerprint);
        const auto pool = state.pools.find(summary.service);
        if (pool != state.pools.end())
            state.markChanged(pool->second);
    }
}

void onPeerGone(State &state, const PeerGone &event)
{
    state.peers.erase(event.peer);
    divideLimits(state);
}

} // namespace snipestall::policy
