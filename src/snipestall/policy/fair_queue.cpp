#include "snipestall/policy/fair_queue.hpp"

#include "snipestall/policy/request.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// A request with less time left than this is due soon and goes before the fair order. With a
/// longer window most of the queue would be due soon, and the shares would no longer hold.
constexpr Duration DueSoonWindow = std::chrono::milliseconds(400);

/// Lead in virtual time (tokens over weight) over the least served flow up to which a flow's
/// requests that are due soon still go first. Without a bound a customer could take the whole pool
/// by sending short deadlines; with a large bound, old requests of a flood go before new ones of
/// another customer. The value is about five requests of a hundred tokens.
constexpr double MaxDueSoonLead = 512;

/// Number of flows examined for a request that is due soon, so that a pick costs the same with many
/// customers.
constexpr int MaxDueSoonLooks = 4;

/// When more urgent work arrives than the pool can serve, a fifth of the slot time still goes to
/// other work, so that urgent work slows long work but never starves it. The ratio applies to slot
/// time, because a fifth of the picks would give long work most of the slots.
constexpr int UrgentToOtherRatio = 4;

/// The same ratio between normal and patient work: while both wait, a quarter of the slot time that
/// they share goes to patient work. Aging by waiting time would instead make all patient work of a
/// long overload older than any normal work, which would then always be late.
constexpr int NormalToPatientRatio = 3;

constexpr double MinWeight = 1e-6;

void charge(Flow &flow, double cost)
{
    flow.virtualTime += cost / std::max(flow.leaf.weight, MinWeight);
}

QueuedRequest entryOf(Request &request)
{
    return { { request.startBy, request.handle.value }, &request };
}

} // namespace

bool FairQueue::FlowShare::operator<(const FlowShare &other) const
{
    if (virtualTime != other.virtualTime)
        return virtualTime < other.virtualTime;
    return flow->id < other.flow->id;
}

Lane FairQueue::laneOf(const Request &request)
{
    if (request.urgency == Urgency::Patient)
        return Lane::Patient;
    return request.shortUrgent ? Lane::Urgent : Lane::Normal;
}

void FairQueue::push(Request &request)
{
    Flow &flow = *request.flow;
    unindex(flow);
    // A flow that was idle starts at the present virtual time: time without demand earns no credit.
    // Otherwise one customer's burst after a quiet night would shut out all other customers.
    if (flow.idle())
        flow.virtualTime = std::max(flow.virtualTime, m_virtualTime);
    insert(request);
    index(flow);
}

void FairQueue::erase(Request &request)
{
    unindex(*request.flow);
    remove(request);
    index(*request.flow);
}

void FairQueue::serve(Request &request)
{
    Flow &flow = *request.flow;
    updateRuns(request);
    unindex(flow);
    m_virtualTime = std::max(m_virtualTime, flow.virtualTime);
    remove(request);
    charge(flow, request.cost);
    index(flow);
}

void FairQueue::settle(Flow &flow, double cost)
{
    unindex(flow);
    charge(flow, cost);
    index(flow);
}

void FairQueue::configure(Flow &flow, const settings::LeafSettings &leaf)
{
    unindex(flow);
    flow.leaf = leaf;
    index(flow);
}

Request *FairQueue::next(Time now, OpenLanes open) const
{
    Request *urgent = head(now, Lane::Urgent);
    Request *other = nextBackground(now, open);
    if (!urgent)
        return other;
    const bool turnOfOthers = other && m_urgentRun >= UrgentToOtherRatio * other->slotTime;
    return turnOfOthers ? other : urgent;
}

// Deadline slack comes first: patient work with no slack left goes before normal work, of which
// less is admitted the longer it would wait.
Request *FairQueue::nextBackground(Time now, OpenLanes open) const
{
    Request *normal = open.normal ? head(now, Lane::Normal) : nullptr;
    Request *patient = open.patient ? head(now, Lane::Patient) : nullptr;
    if (!normal || !patient)
        return normal ? normal : patient;
    const bool dueSoon = patient->startBy <= now + DueSoonWindow;
    const bool turnOfPatient = m_normalRun >= NormalToPatientRatio * patient->slotTime;
    return dueSoon || turnOfPatient ? patient : normal;
}

void FairQueue::updateRuns(const Request &request)
{
    const Lane lane = laneOf(request);
    const bool othersWait = size(Lane::Normal) + size(Lane::Patient) > 0;
    const bool patientWaits = size(Lane::Patient) > 0;
    if (lane == Lane::Urgent) {
        m_urgentRun = othersWait ? m_urgentRun + request.slotTime : Duration::zero();
        return;
    }
    m_urgentRun = Duration::zero();
    const bool overtakes = lane == Lane::Normal && patientWaits;
    m_normalRun = overtakes ? m_normalRun + request.slotTime : Duration::zero();
}

Request *FairQueue::head(Time now, Lane lane) const
{
    const LaneIndex &index = m_lanes[indexOf(lane)];
    if (index.shares.empty())
        return nullptr;
    if (Request *request = dueSoon(index, now))
        return request;
    const Flow &flow = *index.shares.begin()->flow;
    return flow.lanes[indexOf(lane)].begin()->request;
}

Request *FairQueue::dueSoon(const LaneIndex &lane, Time now) const
{
    const double lead = lane.shares.begin()->virtualTime + MaxDueSoonLead;
    int looks = 0;
    for (const QueuedRequest &head : lane.heads) {
        if (head.key.first > now + DueSoonWindow || looks++ == MaxDueSoonLooks)
            return nullptr;
        if (head.request->flow->virtualTime <= lead)
            return head.request;
    }
    return nullptr;
}

void FairQueue::unindex(Flow &flow)
{
    for (std::size_t i = 0; i < LaneCount; ++i) {
        if (flow.lanes[i].empty())
            continue;
        m_lanes[i].shares.erase({ flow.virtualTime, &flow });
        m_lanes[i].heads.erase(*flow.lanes[i].begin());
    }
    if (!flow.idle())
        m_activeWeight -= flow.leaf.weight;
}

void FairQueue::index(Flow &flow)
{
    for (std::size_t i = 0; i < LaneCount; ++i) {
        if (flow.lanes[i].empty())
            continue;
        m_lanes[i].shares.insert({ flow.virtualTime, &flow });
        m_lanes[i].heads.insert(*flow.lanes[i].begin());
    }
    if (!flow.idle())
        m_activeWeight += flow.leaf.weight;
}

void FairQueue::insert(Request &request)
{
    const std::size_t lane = indexOf(laneOf(request));
    request.flow->lanes[lane].insert(entryOf(request));
    request.flow->queuedSlotTime[lane] += request.slotTime;
    m_lanes[lane].slotTime += request.slotTime;
    ++m_lanes[lane].size;
    ++m_size;
}

void FairQueue::remove(Request &request)
{
    const std::size_t lane = indexOf(laneOf(request));
    request.flow->lanes[lane].erase(entryOf(request));
    request.flow->queuedSlotTime[lane] -= request.slotTime;
    m_lanes[lane].slotTime -= request.slotTime;
    --m_lanes[lane].size;
    --m_size;
}

} // namespace snipestall::policy
