#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/scaling_policy.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Servers of one service in one data centre that take work.
struct FleetCount
{
    int onDemand = 0;
    int reclaimable = 0;
};

/// How many servers of one kind are wanted in one data centre.
struct FleetOrder
{
    std::string dataCentre;
    int count = 0;
    bool reclaimable = false;

    bool operator==(const FleetOrder &) const = default;
};

/// By which estimate the on-demand servers of a plan are counted.
enum class FleetEstimate {
    /// What the operators started with: the demand is not known yet.
    Usual,
    /// What the demand needs beside the reclaimable servers that are there.
    Demand,
    /// What it needs beside those that are left if more are taken back before others can start.
    Insurance,
};

/// The name of an estimate in the log.
const char *toString(FleetEstimate estimate);

/// What is known of a service's demand.
struct FleetDemand
{
    /// Servers that would be needed if they were fully used, at the highest of the last seconds; 0
    /// while that is not known.
    double servers = 0;
    /// The same just now.
    double serversNow = 0;
    /// Whether any request has come yet.
    bool any = false;
};

/// Decides how many servers of one service run where, and of which kind.
///
/// Load: demand that follows the time of day, jumps, and data centres whose reclaimable servers are
/// all taken back on seconds of notice while none are to be had. Harm: on-demand servers cost
/// several times as much for the same work; without any, the loss of reclaimable ones leaves the
/// rest overloaded until others start. So reclaimable servers carry the demand with enough of a
/// surplus that the others carry it without one data centre; on-demand ones run only while fewer
/// servers are there than the measured demand needs, in the cheapest data centres.
///
/// Once reclaimable servers are refused somewhere, one data centre after the other may lose its
/// own, and what is ordered only then serves a start time later: with all four taken back within
/// ten seconds, no server was left for two of them, and those that came found a backlog that kept
/// itself up for 15 s more. So from the first refusal on, on-demand servers are ordered for what is
/// left if one more data centre goes next: those that are left have their shared prompts cached and
/// can carry the demand for a while, fully used; those that start have not, and count with
/// `ColdUse` only. It ends with the shortage.
class FleetPlanner
{
public:
    /// `usual`: servers that the operators started with, by data centre.
    FleetPlanner(ScalingPolicy policy, const std::map<std::string, int> &usual);

    /// What part of the target latency the slower tenth of requests waits for its first byte: how
    /// near the fleet is to being too small. To be told a few times a second.
    void pressure(double partOfTarget, SteadyTime now);
    /// Orders to be sent now; the caller reports back what came of each.
    [[nodiscard]] std::vector<FleetOrder> plan(const std::map<std::string, FleetCount> &counts,
                                               FleetDemand demand, SteadyTime now);
    void accepted(const FleetOrder &order, SteadyTime now);
    /// The order was not taken; none of this kind may be had there at the moment.
    void refused(const FleetOrder &order, SteadyTime now);
    [[nodiscard]] double scale() const { return m_scale; }
    /// By which the on-demand servers of the last plan were counted.
    [[nodiscard]] FleetEstimate estimate() const { return m_estimate; }

private:
    /// Use at which queues stay short: a server that is busy a third of the time rarely has a long
    /// prompt before another.
    static constexpr double ComfortableUse = 0.35;
    /// Use above which prompts queue up behind each other; on-demand servers keep the fleet below.
    /// They cost five times as much and more: in a long shortage of reclaimable ones, 0.6 paid for
    /// twice the servers and served no more callers in time.
    static constexpr double CrowdedUse = 0.8;
    /// Part of a server that starts in a shortage which can be counted on: it has read no prompts
    /// yet, which nearly doubles the work until the shared parts are cached again.
    static constexpr double ColdUse = 0.5;
    /// The least that is kept, as a part of the number that the operators started with: demand may
    /// come back faster than servers start.
    static constexpr double LeastOfUsual = 1.5;
    /// Above this pressure the fleet grows: a queue that takes half of the target leaves no room
    /// for the next jump.
    static constexpr double GrowAbove = 0.55;
    static constexpr double GrowBy = 1.25;
    /// Below this pressure, for `ShrinkAfter` at a stretch, the fleet shrinks.
    static constexpr double ShrinkBelow = 0.25;
    static constexpr double ShrinkBy = 0.9;
    static constexpr std::chrono::seconds ShrinkAfter { 15 };
    static constexpr double LeastScale = 1;
    static constexpr double MostScale = 4;
    /// Pause after a refusal, and between repeats of an order that has not come true.
    static constexpr std::chrono::milliseconds RepeatPause { 2000 };

    struct Kind
    {
        /// -1: nothing ordered yet.
        int ordered = -1;
        SteadyTime askedAt;
        bool refused = false;
    };
    struct Place
    {
        int usual = 0;
        Kind reclaimable;
        Kind onDemand;
    };

    /// Reclaimable servers wanted in each data centre.
    [[nodiscard]] int reclaimableWanted(FleetDemand demand) const;
    [[nodiscard]] std::map<std::string, int>
    onDemandWanted(const std::map<std::string, FleetCount> &counts, FleetDemand demand);
    /// On-demand servers wanted in all data centres together.
    [[nodiscard]] int onDemandMissing(const std::map<std::string, FleetCount> &counts,
                                      FleetDemand demand);
    /// Reclaimable ones are refused in some data centre.
    [[nodiscard]] bool shortage() const;
    /// On-demand servers that carry the demand together with those that are left once the data
    /// centre with the most reclaimable ones has lost them.
    [[nodiscard]] static int insured(const std::map<std::string, FleetCount> &counts,
                                     double servers);
    [[nodiscard]] int usualTotal() const;
    [[nodiscard]] std::vector<std::string> cheapestFirst() const;
    [[nodiscard]] bool due(const Kind &kind, int wanted, int present, SteadyTime now) const;
    static Kind &kindOf(Place &place, bool reclaimable)
    {
        return reclaimable ? place.reclaimable : place.onDemand;
    }

    ScalingPolicy m_policy;
    std::map<std::string, Place> m_places;
    double m_scale = 1;
    SteadyTime m_scaledAt;
    SteadyTime m_calmSince;
    FleetEstimate m_estimate = FleetEstimate::Usual;
};

} // namespace snipestall::serving
