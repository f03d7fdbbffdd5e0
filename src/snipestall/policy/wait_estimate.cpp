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

/// Least part of the slots that a lane gets when all want them; the queue's turns see to it.
double leastPart(Lane lane)
{
    constexpr double NormalPart = 0.75;
    constexpr double PatientPart = 0.25;
    switch (lane) {
    case Lane::Urgent:
        return 1.0;
    case Lane::Normal:
        return NormalPart;
    case Lane::Patient:
        return PatientPart;
    }
    return 1.0;
}

/// Slots at which the lane drains: what it was given of late, while it queued, or its least part.
/// More urgent lanes go first, so that the whole pool is no measure for patient work.
double drainOf(const Pool &pool, Lane lane)
{
    const double slots = pool.slotsFor(lane);
    const double served = pool.served[indexOf(lane)].at(pool.now);
    const double least = std::min(slots, leastPart(lane) * pool.slotsFor(Lane::Normal));
    return std::clamp(served, least, slots);
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
    const double drain = drainOf(pool, lane);
    // A customer waits behind its own work at its share of the pool, not behind another's flood.
    const Duration ownWork = flow.queuedService[indexOf(lane)];
    const Duration own = divided(ownWork, drain * shareOf(pool, flow));
    const Duration nextSlot = divided(request.service, totals.slots);
    return own + nextSlot;
}

std::optional<Duration> expectedWait(const Pool &pool, Lane lane)
{
    if (pool.index.totals().slots == 0)
        return std::nullopt;
    return divided(pool.queue.service(lane), drainOf(pool, lane));
}

} // namespace snipestall::policy
