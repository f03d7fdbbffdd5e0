#pragma once

#include "snipestall/policy/flow.hpp"
#include "snipestall/policy/queue_lane.hpp"
#include "snipestall/policy/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace snipestall::policy {

/// Queue of one pool: deadline slack first, then weighted fair shares by estimated tokens.
///
/// Made for bursts and for one customer that asks for most of the pool. Each change costs
/// O(log n) of what is queued; nothing is ever scanned.
class FairQueue
{
public:
    void push(Request &request);
    void erase(Request &request);

    /// The request of one lane to serve next, still queued; null when the lane is empty.
    [[nodiscard]] Request *head(Time now, Lane lane) const;

    /// The request to serve next, still queued; null when the lanes allowed hold none.
    [[nodiscard]] Request *next(Time now, OpenLanes open) const;

    /// Takes a request out in order to serve it, and charges its cost to its flow.
    void serve(Request &request);

    /// Corrects the charge of a served request once its true cost is known.
    void settle(Flow &flow, double cost);

    /// Gives a flow the settings now in force.
    void configure(Flow &flow, const settings::LeafSettings &leaf);

    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] std::size_t size(Lane lane) const { return m_lanes[indexOf(lane)].size; }
    /// Time in a slot of all that is queued in a lane.
    [[nodiscard]] Duration service(Lane lane) const { return m_lanes[indexOf(lane)].service; }
    /// Sum of the weights of flows with queued work.
    [[nodiscard]] double activeWeight() const { return m_activeWeight; }

    static Lane laneOf(const Request &request);

private:
    struct FlowShare
    {
        double virtualTime = 0;
        Flow *flow = nullptr;

        bool operator<(const FlowShare &other) const;
    };

    struct LaneIndex
    {
        /// Flows by virtual time.
        std::set<FlowShare> shares;
        /// Each flow's most pressing request.
        std::set<QueuedRequest> heads;
        std::size_t size = 0;
        Duration service {};
    };

    void unindex(Flow &flow);
    void index(Flow &flow);
    void insert(Request &request);
    void remove(Request &request);
    [[nodiscard]] Request *background(Time now, OpenLanes open) const;
    void countTurn(const Request &request);
    [[nodiscard]] Request *pressing(const LaneIndex &lane, Time now) const;

    std::array<LaneIndex, LaneCount> m_lanes;
    std::size_t m_size = 0;
    double m_activeWeight = 0;
    /// Virtual time of the last flow served.
    double m_virtualTime = 0;
    /// Slot time given to urgent work while other work waited, since other work had its turn.
    Duration m_urgentRun {};
    /// The same of normal work while patient work waited.
    Duration m_normalRun {};
};

} // namespace snipestall::policy
