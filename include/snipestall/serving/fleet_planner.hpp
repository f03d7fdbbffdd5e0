#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/scaling_policy.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Servers of one service in one data centre that accept requests.
struct FleetCount
{
    int onDemand = 0;
    int reclaimable = 0;
};

/// An order for the number of servers of one kind that a service has to have in one data centre.
struct FleetOrder
{
    std::string dataCentre;
    int count = 0;
    bool reclaimable = false;

    bool operator==(const FleetOrder &) const = default;
};

/// The estimate by which the number of on-demand servers was determined.
enum class FleetEstimate {
    /// The number that the operators started with, because the demand is not known yet.
    Usual,
    /// What the demand needs in addition to the present reclaimable servers.
    Demand,
    /// What the demand needs in addition to the reclaimable servers that remain if more of them are
    /// reclaimed before others can start.
    Insurance,
};

/// The name of an estimate in log lines.
const char *toString(FleetEstimate estimate);

/// The measured demand for a service.
struct FleetDemand
{
    /// Number of fully used servers that would be needed, as the highest of the last seconds; 0 if
    /// unknown.
    double servers = 0;
    /// The number needed at the moment.
    double currentServers = 0;
    /// Whether any request has arrived yet.
    bool hasRequests = false;
};

/// Decides how many servers of one service run in which data centre, and of which kind.
///
/// Load: demand follows the time of day and jumps, and all reclaimable servers of a data centre may
/// be reclaimed within seconds of the notice while no others can be obtained. Harm: on-demand
/// servers cost several times as much for the same work, but without any of them the loss of
/// reclaimable servers leaves the remaining ones overloaded until others have started. Reclaimable
/// servers therefore carry the demand, with a surplus large enough that the other data centres can
/// replace any single one. On-demand servers run only while there are fewer servers than the
/// measured demand needs, in the cheapest data centres.
///
/// Once reclaimable servers are refused in one data centre, the others may lose theirs one after
/// the other, and a server that is ordered only then serves after its start time: when all four
/// data centres lost theirs within ten seconds, no server was left for two seconds, and the servers
/// that started met a backlog that persisted for another 15 s. From the first refusal on, on-demand
/// servers are therefore ordered for the case that one more data centre loses its reclaimable
/// servers. The remaining servers have the shared prompts cached and can carry the demand for a
/// while, fully used; newly started servers have not, and count only with `ColdCapacity`. This ends
/// with the shortage.
class FleetPlanner
{
public:
    /// `initial`: number of servers that the operators started with, by data centre.
    FleetPlanner(ScalingPolicy policy, const std::map<std::string, int> &initial);
    /// The planner follows another one at `now`, whose orders and refusals are not known. Fewer
    /// servers than present are ordered only after these have been asked for anew: the servers may
    /// be there because no others were available, and without them the next loss would leave none.
    void succeed(SteadyTime now) { m_succeededAt = now; }

    /// Reports which part of the target latency the slowest tenth of requests waits for its first
    /// byte, as a measure of how close the fleet is to being too small. To be called a few times
    /// per second.
    void updatePressure(double fractionOfTarget, SteadyTime now);
    /// Returns the orders to be sent now; the result of each is reported with accepted() or
    /// refused().
    [[nodiscard]] std::vector<FleetOrder> plan(const std::map<std::string, FleetCount> &counts,
                                               FleetDemand demand, SteadyTime now);
    /// The order was accepted.
    void accepted(const FleetOrder &order, SteadyTime now);
    /// The order was refused; servers of this kind may not be available in that data centre at the
    /// moment.
    void refused(const FleetOrder &order, SteadyTime now);
    /// Factor by which the fleet has been enlarged because of the latency.
    [[nodiscard]] double scale() const { return m_scale; }
    /// The estimate by which the on-demand servers of the last plan were counted.
    [[nodiscard]] FleetEstimate estimate() const { return m_estimate; }

private:
    /// Utilisation at which queues stay short: on a server that is busy a third of the time, a
    /// prompt rarely waits for a long one.
    static constexpr double TargetUtilisation = 0.35;
    /// Utilisation above which prompts queue behind each other; on-demand servers keep the fleet
    /// below it. They cost at least five times as much as reclaimable ones: in a long shortage of
    /// those, a limit of 0.6 cost twice as many servers and served no more callers in time.
    static constexpr double MaxUtilisation = 0.8;
    /// Part of the capacity of a server started in a shortage that can be counted on: the server
    /// has no prompts cached yet, which nearly doubles the work until the shared parts are cached
    /// again.
    static constexpr double ColdCapacity = 0.5;
    /// The smallest fleet that is kept, relative to the number of servers that the operators
    /// started with: demand may return faster than servers start.
    static constexpr double MinFleetFactor = 1.5;
    /// The fleet grows above this pressure: a queue that takes half of the target latency leaves no
    /// room for the next jump in demand.
    static constexpr double GrowThreshold = 0.55;
    static constexpr double GrowFactor = 1.25;
    /// The fleet shrinks once the pressure has been below this value for `ShrinkAfter` without
    /// interruption.
    static constexpr double ShrinkThreshold = 0.25;
    static constexpr double ShrinkFactor = 0.9;
    static constexpr std::chrono::seconds ShrinkAfter { 15 };
    static constexpr double MinScale = 1;
    static constexpr double MaxScale = 4;
    /// Pause after a refusal, and between repetitions of an order that has not been fulfilled.
    static constexpr std::chrono::milliseconds RetryPause { 2000 };

    struct OrderState
    {
        /// -1 if nothing has been ordered yet.
        int ordered = -1;
        SteadyTime lastOrderAt;
        bool refused = false;
    };
    struct DataCentreState
    {
        int initial = 0;
        OrderState reclaimable;
        OrderState onDemand;
    };

    /// Reclaimable servers wanted in each data centre.
    [[nodiscard]] int reclaimableWanted(FleetDemand demand) const;
    /// On-demand servers wanted, by data centre.
    [[nodiscard]] std::map<std::string, int>
    onDemandWanted(const std::map<std::string, FleetCount> &counts, FleetDemand demand);
    /// On-demand servers wanted in all data centres together.
    [[nodiscard]] int onDemandMissing(const std::map<std::string, FleetCount> &counts,
                                      FleetDemand demand);
    /// Whether reclaimable servers are refused in any data centre.
    [[nodiscard]] bool hasShortage() const;
    /// On-demand servers needed to carry the demand together with the reclaimable servers that
    /// remain after the data centre with most of them has lost its own.
    [[nodiscard]] static int insuranceNeeded(const std::map<std::string, FleetCount> &counts,
                                             double servers);
    [[nodiscard]] int initialTotal() const;
    [[nodiscard]] std::vector<std::string> dataCentresByPrice() const;
    /// Whether an order for `wanted` servers has to be sent now.
    [[nodiscard]] bool isDue(const OrderState &state, int wanted, int present,
                             SteadyTime now) const;
    static OrderState &orderStateOf(DataCentreState &state, bool reclaimable)
    {
        return reclaimable ? state.reclaimable : state.onDemand;
    }

    ScalingPolicy m_policy;
    std::map<std::string, DataCentreState> m_dataCentres;
    double m_scale = 1;
    std::optional<SteadyTime> m_succeededAt;
    SteadyTime m_scaledAt;
    SteadyTime m_lowPressureSince;
    FleetEstimate m_estimate = FleetEstimate::Usual;
};

} // namespace snipestall::serving
