#include "snipestall/policy/placement.hpp"

#include "snipestall/policy/forwarding.hpp"
#include "snipestall/policy/health.hpp"
#include "snipestall/policy/isolation.hpp"
#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/prefix_placement.hpp"
#include "snipestall/policy/state.hpp"

#include <chrono>
#include <vector>

namespace snipestall::policy {
namespace {

OpenLanes openLanes(const Pool &pool)
{
    return { pool.freeFor(Lane::Normal) > 0, pool.freeFor(Lane::Patient) > 0 };
}

/// Slot time that is lost if the server goes away when half of it has passed.
double lossSeconds(const Request &request)
{
    return std::chrono::duration<double>(request.slotTime).count() / 2;
}

/// The least loaded server, but not the one where the last attempt failed, unless no other server
/// has a free slot.
Server *leastLoaded(const State &state, const Request &request)
{
    const ServerIndex &index = request.pool->index;
    Server *server = index.pick(state.now, lossSeconds(request));
    if (server->handle != request.failedOn)
        return server;
    const std::vector<Server *> two = index.best(state.now, lossSeconds(request), 2);
    return two.back();
}

Server *choose(State &state, const Request &request)
{
    if (Server *server = serverToProbe(state, request))
        return server;
    Server *cached = cachedServer(state, request);
    if (cached && cached->handle != request.failedOn)
        return cached;
    return leastLoaded(state, request);
}

void serve(State &state, Request &request, Server &server)
{
    Pool &pool = *request.pool;
    pool.queue.serve(request);
    pool.servedLoad[indexOf(FairQueue::laneOf(request))].add(state.now, request.slotTime);
    if (request.retries == 0)
        pool.retryBudget.earn();
    state.giveUps.remove(request.giveUpAt, request.handle);
    rememberPrefix(request, server);
    dispatch(state, request, server);
}

bool placeOne(State &state, Pool &pool)
{
    if (pool.index.totals().free == 0)
        return false;
    Request *request = pool.queue.next(state.now, openLanes(pool));
    if (!request)
        return false;
    if (forwardToCache(state, *request))
        return true;
    Server *server = choose(state, *request);
    if (server->handle == request->failedOn && forwardToFastestPeer(state, *request))
        return true;
    serve(state, *request, *server);
    return true;
}

} // namespace

void placeQueued(State &state)
{
    for (const std::string &service : state.changedPools) {
        Pool &pool = state.pool(service);
        pool.now = state.now;
        placeSuspects(state, pool);
        while (placeOne(state, pool)) { }
        if (pool.index.totals().slots > 0)
            forwardQueued(state, pool);
        else
            forwardStranded(state, pool);
    }
    state.changedPools.clear();
}

} // namespace snipestall::policy
