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

/// Least share of the slots that a lane gets when all lanes want them; FairQueue::next() guarantees
/// it.
double minShare(Lane lane)
{
    constexpr double NormalShare = 0.75;
    constexpr double PatientShare = 0.25;
    switch (lane) {
    case Lane::Urgent:
        return 1.0;
    case Lane::Normal:
        return NormalShare;
    case Lane::Patient:
        return PatientShare;
    }
    return 1.0;
}

/// Number of slots that drain the lane: the number that it recently used while it was queued, or at
/// least its least share. More urgent lanes go first, so the whole pool would be an overestimate
/// for patient work.
double drainSlots(const Pool &pool, Lane lane)
{
    const double slots = pool.slotsFor(lane);
    const double servedLoad = pool.servedLoad[indexOf(lane)].at(pool.now);
    const double least = std::min(slots, minShare(lane) * pool.slotsFor(Lane::Normal));
    return std::clamp(servedLoad, least, slots);
}

/// Share of the pool that the flow gets while other flows want it too.
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
    const double drain = drainSlots(pool, lane);
    // A customer waits behind its own work at its share of the pool, not behind another customer's
    // flood.
    const Duration ownWork = flow.queuedSlotTime[indexOf(lane)];
    const Duration own = divided(ownWork, drain * shareOf(pool, flow));
    const Duration nextSlot = divided(request.slotTime, totals.slots);
    return own + nextSlot;
}

std::optional<Duration> expectedWait(const Pool &pool, Lane lane)
{
    if (pool.index.totals().slots == 0)
        return std::nullopt;
    return divided(pool.queue.queuedSlotTime(lane), drainSlots(pool, lane));
}

} // namespace snipestall::policy
