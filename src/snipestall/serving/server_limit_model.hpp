#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/serving/fleet_disturbances.hpp"
#include "snipestall/serving/server_limits.hpp"
#include "snipestall/serving/server_table.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// Simulates a fleet of instances that send requests to servers of which one names a limit, in
/// simulated time and without sockets, and counts what that server gets.
class ServerLimitModel
{
public:
    static constexpr std::chrono::milliseconds Tick { 20 };

    ServerLimitModel(std::size_t instances, double requestsPerSecond, std::uint64_t seed);

    /// The first server names this limit in its answers from now on, or none.
    void nameLimit(std::optional<double> perSecond);
    /// Kills, suspensions and partitions of the instances.
    FleetDisturbances &disturb() { return m_fleet; }
    /// Registers additional instances. The others learn of them one by one within `learnedWithin`.
    void addInstances(std::size_t count, std::chrono::milliseconds learnedWithin);
    void run(std::chrono::milliseconds length);

    [[nodiscard]] std::size_t size() const { return m_instances.size(); }
    /// Highest number of requests, beyond those allowed, that the server got in any window from
    /// instances that it had told, since the limit had been named for the time of contact.
    /// Instances count only if they have been undisturbed for that time.
    [[nodiscard]] double worstExcess() const;
    /// Requests that the limited server got within the last `length`.
    [[nodiscard]] int arrivalsWithin(std::chrono::milliseconds length) const;
    [[nodiscard]] int refused() const { return m_refused; }

private:
    struct Instance
    {
        std::string name;
        std::string dataCentre;
        ServerLimits limits;
        SteadyTime registeredAt;
        /// After which other instances have learned of this one, in the order of their indices.
        std::chrono::milliseconds learnedWithin { 0 };
        SteadyTime nextExchange;
        std::uint64_t incarnation = 1;
        std::optional<SteadyTime> toldAt;
    };
    struct Answer
    {
        std::size_t instance = 0;
        std::uint64_t incarnation = 0;
        std::size_t server = 0;
    };
    struct Arrival
    {
        SteadyTime time;
        bool counts = false;
    };

    void start(std::size_t index);
    void learnInstances(std::size_t index);
    void exchange(std::size_t index);
    void passReports(const Instance &from, Instance &to) const;
    void serve(std::size_t index, double mean);
    /// The first server or a random other one, whichever has fewer requests in flight.
    std::optional<std::size_t> chooseServer(const Instance &instance);
    void send(std::size_t index);
    void deliverAnswers();
    [[nodiscard]] bool counts(std::size_t index) const;

    double m_requestsPerSecond;
    Random m_random;
    SteadyTime m_now { std::chrono::seconds(1000) };
    FleetDisturbances m_fleet;
    std::vector<Instance> m_instances;
    /// All instances have learned of all others by then.
    SteadyTime m_instancesSettledAt;
    std::vector<ServerState> m_servers;
    std::vector<int> m_inFlight;
    std::multimap<SteadyTime, Answer> m_answers;
    std::optional<double> m_limit;
    SteadyTime m_namedAt;
    /// At the first server.
    std::vector<Arrival> m_arrivals;
    double m_worstExcess = -1e9;
    int m_refused = 0;
};

} // namespace snipestall::serving
