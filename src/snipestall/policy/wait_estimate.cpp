#include "snipestall/policy/wait_estimate.hpp"

#include "snipestall/policy/pool.hpp"
#include "snipestall/policy/request.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

Duration divided(Duration duration, double by)
{
    const std::chrono::duration<double> parts = std::chrono::duration<double>(duration) / by;
    return std::chrono::duration_cast<Duration>(parts);
}

/// Work that goes before a request of this lane, whoever sent it.
Duration workAhead(const Pool &pool, Lane lane)
{
    const Duration urgent = pool.queue.service(Lane::Urgent);
    return lane == Lane::Urgent ? urgent : urgent + pool.queue.service(Lane::Other);
}

/// Share of the pool that the flow gets while others want it too.
double shareOf(const Pool &pool, const Flow &flow)
{
    const double weight = std::max(flow.leaf.weight, 1e-6);
    const double others = pool.queue.activeWeight() - (flow.idle() ? 0.0 : flow.leaf.weight);
    return weight / (weight + std::max(0.0, others));
}

} // namespace

std::optional<Duration> expectedWait(const Pool &pool, const Request &request)
{
    const ServerIndex::Totals &totals = pool.index.totals();
    if (totals.slots == 0)
        return std::nullopt;
    const Lane lane = FairQueue::laneOf(request);
    if (pool.freeFor(lane) > 0 && pool.queue.size(lane) == 0)
        return Duration::zero();
    const Flow &flow = *request.flow;
    const double slots = pool.slotsFor(lane);
    const Duration all = divided(workAhead(pool, lane), slots);
    // A customer waits behind its own work at its share of the pool, not behind another's flood.
    const Duration ownWork = flow.queuedService[0] + flow.queuedService[1];
    const Duration own = divided(ownWork, slots * shareOf(pool, flow));
    const Duration nextSlot = divided(request.service, slots);
    return std::min(all, own) + nextSlot;
}

std::optional<Duration> expectedWait(const Pool &pool, Lane lane)
{
    if (pool.index.totals().slots == 0)
        return std::nullopt;
    return divided(workAhead(pool, lane), pool.slotsFor(lane));
}

} // namespace snipestall::policy
