#include "snipestall/policy/fair_queue.hpp"

#include "snipestall/policy/request.hpp"

#include <algorithm>
#include <chrono>

namespace snipestall::policy {
namespace {

/// A request with less time left than this goes before the fair order. Longer, and most of the
/// queue would count as pressing and the shares would no longer bind.
constexpr Duration PressingWindow = std::chrono::milliseconds(400);

/// How far (in tokens over weight) a flow may be ahead of the least served one and still have its
/// pressing requests go first. Without a bound a customer takes the pool by sending short
/// deadlines; with a wide one, a flood's old requests go before another customer's new ones. This
/// is about five requests of a hundred tokens.
constexpr double PressingLead = 512;

/// Flows looked at for a pressing request, so that a pick costs the same with many customers.
constexpr int PressingLooks = 4;

/// Load: more urgent work than the pool can serve. A fifth of the slot time goes to other work all
/// the same, so that long work is slowed by urgent work but never starved by it. Counted in time:
/// a fifth of the picks would give long work most of the slots.
constexpr int UrgentPart = 4;

/// The same between normal and patient work: of the slot time they share, a quarter goes to patient
/// work while both wait. Aging by waiting time instead made all patient work of a long overload
/// older than any normal work, which then came late without exception.
constexpr int NormalPart = 3;

constexpr double LeastWeight = 1e-6;

void charge(Flow &flow, double cost)
{
    flow.virtualTime += cost / std::max(flow.leaf.weight, LeastWeight);
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
    // A flow that was idle starts at the present: time without demand earns no credit, or one
    // customer's burst after a quiet night would shut out all others.
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
    countTurn(request);
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
    Request *other = background(now, open);
    if (!urgent)
        return other;
    const bool turnOfOthers = other && m_urgentRun >= UrgentPart * other->service;
    return turnOfOthers ? other : urgent;
}

// Deadline slack first: patient work with none left goes before normal work, of which less is
// admitted the longer it would wait.
Request *FairQueue::background(Time now, OpenLanes open) const
{
    Request *normal = open.normal ? head(now, Lane::Normal) : nullptr;
    Request *patient = open.patient ? head(now, Lane::Patient) : nullptr;
    if (!normal || !patient)
        return normal ? normal : patient;
    const bool pressing = patient->startBy <= now + PressingWindow;
    const bool turnOfPatient = m_normalRun >= NormalPart * patient->service;
    return pressing || turnOfPatient ? patient : normal;
}

void FairQueue::countTurn(const Request &request)
{
    const Lane lane = laneOf(request);
    const bool othersWait = size(Lane::Normal) + size(Lane::Patient) > 0;
    const bool patientWaits = size(Lane::Patient) > 0;
    if (lane == Lane::Urgent) {
        m_urgentRun = othersWait ? m_urgentRun + request.service : Duration::zero();
        return;
    }
    m_urgentRun = Duration::zero();
    const bool overtakes = lane == Lane::Normal && patientWaits;
    m_normalRun = overtakes ? m_normalRun + request.service : Duration::zero();
}

Request *FairQueue::head(Time now, Lane lane) const
{
    const LaneIndex &index = m_lanes[indexOf(lane)];
    if (index.shares.empty())
        return nullptr;
    if (Request *request = pressing(index, now))
        return request;
    const Flow &flow = *index.shares.begin()->flow;
    return flow.lanes[indexOf(lane)].begin()->request;
}

Request *FairQueue::pressing(const LaneIndex &lane, Time now) const
{
    const double lead = lane.shares.begin()->virtualTime + PressingLead;
    int looks = 0;
    for (const QueuedRequest &head : lane.heads) {
        if (head.key.first > now + PressingWindow || looks++ == PressingLooks)
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
    request.flow->queuedService[lane] += request.service;
    m_lanes[lane].service += request.service;
    ++m_lanes[lane].size;
    ++m_size;
}

void FairQueue::remove(Request &request)
{
    const std::size_t lane = indexOf(laneOf(request));
    request.flow->lanes[lane].erase(entryOf(request));
    request.flow->queuedService[lane] -= request.service;
    m_lanes[lane].service -= request.service;
    --m_lanes[lane].size;
    --m_size;
}

} // namespace snipestall::policy
