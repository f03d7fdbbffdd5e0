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

/// Queue of one pool, ordered by deadline slack first and then by weighted fair shares of estimated
/// tokens.
///
/// Designed for bursts and for one customer that asks for most of the pool. A change costs O(log n)
/// in the number of queued requests; nothing scans the queue.
class FairQueue
{
public:
    void push(Request &request);
    void erase(Request &request);

    /// The next request of one lane, which stays queued; null when the lane is empty.
    [[nodiscard]] Request *head(Time now, Lane lane) const;

    /// The next request to serve, which stays queued; null when the open lanes are empty.
    [[nodiscard]] Request *next(Time now, OpenLanes open) const;

    /// Removes a request from the queue to serve it and charges its cost to its flow.
    void serve(Request &request);

    /// Corrects the charge of a served request once its true cost is known.
    void settle(Flow &flow, double cost);

    /// Applies the settings now in force to a flow.
    void configure(Flow &flow, const settings::LeafSettings &leaf);

    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] std::size_t size(Lane lane) const { return m_lanes[indexOf(lane)].size; }
    /// Total estimated slot time of the requests queued in a lane.
    [[nodiscard]] Duration queuedSlotTime(Lane lane) const
    {
        return m_lanes[indexOf(lane)].slotTime;
    }
    /// Sum of the weights of the flows with queued requests.
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
        /// Flows ordered by virtual time.
        std::set<FlowShare> shares;
        /// For each flow, the queued request whose latest start comes first.
        std::set<QueuedRequest> heads;
        std::size_t size = 0;
        Duration slotTime {};
    };

    void unindex(Flow &flow);
    void index(Flow &flow);
    void insert(Request &request);
    void remove(Request &request);
    [[nodiscard]] Request *nextBackground(Time now, OpenLanes open) const;
    void updateRuns(const Request &request);
    [[nodiscard]] Request *dueSoon(const LaneIndex &lane, Time now) const;

    std::array<LaneIndex, LaneCount> m_lanes;
    std::size_t m_size = 0;
    double m_activeWeight = 0;
    /// Virtual time of the last flow served.
    double m_virtualTime = 0;
    /// Slot time given to urgent work while other work waited, since other work was last served.
    Duration m_urgentRun {};
    /// Slot time given to normal work while patient work waited, since patient work was last
    /// served.
    Duration m_normalRun {};
};

} // namespace snipestall::policy
