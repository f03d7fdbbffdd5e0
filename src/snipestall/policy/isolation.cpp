#include "snipestall/policy/isolation.hpp"

#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace snipestall::policy {
namespace {

/// One death makes suspects of all requests that ran on the server. At most a third of the pool is
/// emptied for them; the rest keeps serving.
constexpr std::size_t MaxIsolatedDivisor = 3;

QueuedRequest entryOf(Request &request)
{
    return { { request.startBy, request.handle.value }, &request };
}

std::size_t maxIsolated(const Pool &pool)
{
    return std::max<std::size_t>(1, pool.servers.size() / MaxIsolatedDivisor);
}

void reserveServer(State &state, Pool &pool, Server &server)
{
    Request &request = *pool.suspects.begin()->request;
    pool.suspects.erase(pool.suspects.begin());
    request.server = &server;
    server.suspect = &request;
    pool.isolated.insert(server.handle);
    pool.index.update(server);
    state.markChanged(pool);
}

void startIsolated(State &state, Pool &pool)
{
    for (const ServerHandle handle : pool.isolated) {
        Server &server = *state.findServer(handle);
        Request &request = *server.suspect;
        if (request.phase != Phase::Suspect || server.running() > 0)
            continue;
        state.giveUps.remove(request.giveUpAt, request.handle);
        dispatch(state, request, server);
    }
}

void open(State &state, Server &server)
{
    server.suspect = nullptr;
    server.pool->isolated.erase(server.handle);
    server.pool->index.update(server);
    state.markChanged(*server.pool);
}

} // namespace

void isolate(State &state, Request &request)
{
    request.phase = Phase::Suspect;
    request.pool->suspects.insert(entryOf(request));
    state.giveUps.add(request.giveUpAt, request.handle);
    state.markChanged(*request.pool);
}

void placeSuspects(State &state, Pool &pool)
{
    while (!pool.suspects.empty() && pool.isolated.size() < maxIsolated(pool)) {
        Server *server = pool.index.pick(state.now, 0);
        if (!server)
            break;
        reserveServer(state, pool, *server);
    }
    startIsolated(state, pool);
}

void clearRecentSuspects(State &state, Pool &pool)
{
    std::vector<Request *> cleared;
    for (const QueuedRequest &suspect : pool.suspects) {
        if (suspect.request->crashes == 1
            && DeathWindow::isRecent(state.now, suspect.request->crashedAt))
            cleared.push_back(suspect.request);
    }
    for (Request *request : cleared) {
        leavePhase(state, *request);
        state.crashes.clear(request->fingerprint);
        request->crashes = 0;
        enqueue(state, *request);
    }
}

void releaseIsolation(State &state, Request &request)
{
    if (request.phase == Phase::Suspect && !request.server)
        request.pool->suspects.erase(entryOf(request));
    Server *server = request.server;
    if (!server || server->suspect != &request)
        return;
    open(state, *server);
    if (request.phase == Phase::Suspect)
        request.server = nullptr;
}

void cancelIsolation(State &state, Server &server)
{
    Request *request = server.suspect;
    if (!request || request->phase != Phase::Suspect)
        return;
    open(state, server);
    request->server = nullptr;
    request->pool->suspects.insert(entryOf(*request));
}

} // namespace snipestall::policy
