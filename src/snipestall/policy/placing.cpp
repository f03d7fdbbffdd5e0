#include "snipestall/policy/placing.hpp"

#include "snipestall/policy/forwarding.hpp"
#include "snipestall/policy/health.hpp"
#include "snipestall/policy/isolation.hpp"
#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/prefix_placing.hpp"
#include "snipestall/policy/state.hpp"

#include <chrono>

namespace snipestall::policy {
namespace {

bool onlyReservedLeft(const Pool &pool)
{
    return pool.index.totals().runningOther >= pool.slotsFor(Lane::Other);
}

/// Time in a slot that is lost if the server goes away half-way.
double lossSeconds(const Request &request)
{
    return std::chrono::duration<double>(request.service).count() / 2;
}

Server *choose(State &state, const Request &request)
{
    if (Server *server = serverToProbe(state, request))
        return server;
    if (Server *server = cachedServer(state, request))
        return server;
    return request.pool->index.pick(state.now, lossSeconds(request));
}

void serve(State &state, Request &request, Server &server)
{
    request.pool->queue.serve(request);
    if (request.retries == 0)
        request.pool->retryBudget.earn();
    state.giveUps.remove(request.giveUpAt, request.handle);
    rememberPrefix(request, server);
    dispatch(state, request, server);
}

bool placeOne(State &state, Pool &pool)
{
    if (pool.index.totals().free == 0)
        return false;
    Request *request = pool.queue.next(state.now, onlyReservedLeft(pool));
    if (!request)
        return false;
    serve(state, *request, *choose(state, *request));
    return true;
}

} // namespace

void placeQueued(State &state)
{
    for (const std::string &service : state.touched) {
        Pool &pool = state.pool(service);
        placeSuspects(state, pool);
        while (placeOne(state, pool)) { }
        forwardQueued(state, pool);
    }
    state.touched.clear();
}

} // namespace snipestall::policy
