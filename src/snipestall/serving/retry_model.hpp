#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/serving/fleet_disturbances.hpp"
#include "snipestall/serving/retry_allowance.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace snipestall::serving {

/// Simulates the attempts that a fleet of instances sends to one service, in simulated time and
/// without sockets, and counts the repeats of all instances together exactly.
class RetryModel
{
public:
    static constexpr std::chrono::milliseconds Tick { 20 };

    struct Options
    {
        std::size_t instances = 6;
        RetryLimits limits;
        /// Over all instances. Callers move to the instances that are up.
        double requestsPerSecond = 80;
        int attemptLimit = 3;
        std::uint64_t seed = 1;
    };

    explicit RetryModel(Options options);

    /// Sets the share of attempts that fail.
    void setFailures(double share) { m_failures = share; }
    void setRequestsPerSecond(double rate) { m_options.requestsPerSecond = rate; }
    /// Kills, suspensions and partitions of the instances.
    FleetDisturbances &disturb() { return m_fleet; }
    /// Starts additional instances.
    void addInstances(std::size_t count);
    void run(std::chrono::milliseconds length);

    [[nodiscard]] std::size_t size() const { return m_instances.size(); }
    /// Highest number of repeats beyond what is allowed in any window; negative if the limit was
    /// kept. The first attempts of a window count as in the window before it or the one half a
    /// window before it if these have more.
    [[nodiscard]] double worstExcess() const;
    /// Begins to count the requests of these instances whose first attempt fails, and how many of
    /// them are sent a second time.
    void countRequestsOf(const std::vector<std::size_t> &indices);
    [[nodiscard]] int failed() const { return m_failed; }
    [[nodiscard]] int repeated() const { return m_repeated; }

private:
    struct Instance
    {
        RetryAllowance allowance;
        SteadyTime nextExchange;
        bool counted = false;
    };

    void start(std::size_t index);
    /// Hands over credits in both directions between an instance and its partners.
    void exchange(std::size_t index);
    void handOver(Instance &from, Instance &to);
    void serve(Instance &instance, double mean);
    [[nodiscard]] double firstAttemptsIn(std::size_t endTick) const;

    Options m_options;
    Random m_random;
    SteadyTime m_now { std::chrono::seconds(100) };
    double m_failures = 0;
    FleetDisturbances m_fleet;
    std::vector<Instance> m_instances;
    std::vector<int> m_firstAttempts;
    std::vector<int> m_repeats;
    int m_failed = 0;
    int m_repeated = 0;
};

} // namespace snipestall::serving
