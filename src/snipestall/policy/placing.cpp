#include "snipestall/policy/placing.hpp"

#include "snipestall/policy/forwarding.hpp"
#include "snipestall/policy/lifecycle.hpp"
#include "snipestall/policy/state.hpp"

#include <chrono>
#include <cmath>

namespace snipestall::policy {
namespace {

/// Slots that only short urgent work may use. Load: long work that fills every slot for tens of
/// seconds; harm: a lookup then waits for a whole review. At least one slot stays for other work.
std::uint32_t reservedSlots(const Pool &pool)
{
    const std::uint32_t slots = pool.index.totals().slots;
    const double share = pool.settings.urgentReserve * slots;
    return static_cast<std::uint32_t>(std::floor(share));
}

bool onlyReservedLeft(const Pool &pool)
{
    const ServerIndex::Totals &totals = pool.index.totals();
    return totals.runningOther + reservedSlots(pool) >= totals.slots;
}

/// Time in a slot that is lost if the server goes away half-way.
double lossSeconds(const Request &request)
{
    return std::chrono::duration<double>(request.service).count() / 2;
}

void serve(State &state, Request &request, Server &server)
{
    request.pool->queue.serve(request);
    state.giveUps.remove(request.giveUpAt, request.handle);
    dispatch(state, request, server);
}

bool placeOne(State &state, Pool &pool)
{
    if (pool.index.totals().free == 0)
        return false;
    Request *request = pool.queue.next(state.now, onlyReservedLeft(pool));
    if (!request)
        return false;
    Server *server = pool.index.pick(lossSeconds(*request));
    serve(state, *request, *server);
    return true;
}

} // namespace

void placeQueued(State &state)
{
    for (const std::string &service : state.touched) {
        Pool &pool = state.pool(service);
        while (placeOne(state, pool)) { }
        forwardQueued(state, pool);
    }
    state.touched.clear();
}

} // namespace snipestall::policy
