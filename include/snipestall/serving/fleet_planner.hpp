#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/scaling_policy.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Servers of one service in one data centre.
struct FleetCount
{
    int onDemand = 0;
    int reclaimable = 0;
    /// Leaving ones are in neither of the others.
    int leaving = 0;
};

/// How many servers of one kind are wanted in one data centre.
struct FleetOrder
{
    std::string dataCentre;
    int count = 0;
    bool reclaimable = false;

    bool operator==(const FleetOrder &) const = default;
};

/// Decides how many servers of one service run where, and of which kind.
///
/// Load: a service's usual demand, and a data centre whose reclaimable servers are all taken back
/// on seconds of notice while none are to be had. Harm: on-demand servers cost several times as
/// much for the same work; without any, the loss of a data centre's reclaimable ones leaves the
/// rest overloaded until others start. So reclaimable servers carry the demand with enough of a
/// surplus that the others carry it without one data centre, and on-demand ones are ordered where
/// a reclaim has struck and no reclaimable ones are to be had.
class FleetPlanner
{
public:
    /// `usual`: servers that the operators started with, by data centre.
    FleetPlanner(ScalingPolicy policy, std::map<std::string, int> usual);

    /// Orders to be sent now; the caller reports back what came of each.
    [[nodiscard]] std::vector<FleetOrder> plan(const std::map<std::string, FleetCount> &counts,
                                               SteadyTime now);
    void accepted(const FleetOrder &order, SteadyTime now);
    /// None of this kind are to be had there at the moment.
    void refused(const FleetOrder &order, SteadyTime now);

private:
    /// Reclaimable servers as a multiple of the usual number. One data centre of four lost leaves
    /// the usual number at work.
    static constexpr double Surplus = 1.34;
    /// Pause after a refusal before the same kind is asked for again.
    static constexpr std::chrono::milliseconds RefusedPause { 2000 };

    struct Place
    {
        int usual = 0;
        int wantedReclaimable = 0;
        int orderedReclaimable = -1;
        int orderedOnDemand = -1;
        SteadyTime refusedAt;
        bool refused = false;
    };

    [[nodiscard]] int onDemandWanted(const Place &place, const FleetCount &count) const;

    ScalingPolicy m_policy;
    std::map<std::string, Place> m_places;
};

} // namespace snipestall::serving
