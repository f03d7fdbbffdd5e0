#pragma once

#include "snipestall/base/random.hpp"
#include "snipestall/gateway/report_book.hpp"
#include "snipestall/serving/peer_calls.hpp"
#include "snipestall/serving/quota_keeper.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// Simulates a fleet of instances that exchange reports as `LoadExchange` does, in simulated time
/// and without sockets. Tests use it to check what the instances agree on while some of them stop.
class FleetModel
{
public:
    static constexpr std::chrono::milliseconds Tick { 10 };

    /// Creates the instances of a fleet that has been serving for some time.
    FleetModel(int dataCentres, int instancesPerDataCentre, const serving::Customer &customer,
               serving::QuotaTolerance tolerance = {});

    /// Sets the units per second that callers ask for, in requests of `requestUnits` each. They are
    /// spread evenly over the instances that are up.
    void setDemand(double unitsPerSecond, double requestUnits);
    /// Stops the processes with these indices. They start again after `downFor`, without any state.
    void kill(const std::vector<std::size_t> &indices, std::chrono::milliseconds downFor);
    /// Makes these instances leave calls of peers unanswered for some time, although they serve
    /// their callers.
    void muteAsHubs(const std::vector<std::size_t> &indices, std::chrono::milliseconds length);
    /// Separates these instances from all others by a network partition for some time. They still
    /// reach each other.
    void cutOff(const std::vector<std::size_t> &indices, std::chrono::milliseconds length);
    void run(std::chrono::milliseconds length);

    /// Indices of the hubs as known to one of the instances that are up.
    [[nodiscard]] std::vector<std::size_t> hubs() const;
    [[nodiscard]] std::size_t size() const { return m_instances.size(); }
    [[nodiscard]] double asked() const { return m_asked; }
    [[nodiscard]] double refused() const { return m_refused; }
    /// The highest number of units admitted within any window of this length, in whole ticks.
    [[nodiscard]] double maxAdmittedWithin(std::chrono::milliseconds window) const;
    void resetCounts();

private:
    struct Instance
    {
        std::string name;
        std::string dataCentre;
        bool up = true;
        SteadyTime backAt;
        SteadyTime mutedUntil;
        SteadyTime cutOffUntil;
        std::uint64_t incarnation = 1;
        double owedUnits = 0;
        serving::PeerCalls calls;
        serving::QuotaKeeper quotas;
        ReportBook book;

        Instance(std::string given, std::string at)
            : name(given)
            , dataCentre(at)
            , calls(given, { at })
        { }
    };

    /// A call into a partition. Its caller gives it up at `givenUpAt`.
    struct HangingCall
    {
        std::size_t caller;
        std::string callee;
        SteadyTime givenUpAt;
    };

    void start(std::size_t index, bool amongOthers);
    void introduce(Instance &instance);
    void exchange(std::size_t index);
    void call(std::size_t caller, std::size_t callee);
    void giveUpHangingCalls();
    [[nodiscard]] bool isCutOff(const Instance &instance) const;
    void serve(Instance &instance);
    static void processReport(Instance &receiver, const exchange::v1::LoadReport &report,
                              SteadyTime now);
    [[nodiscard]] exchange::v1::LoadReport
    reportFor(const Instance &sender, const std::string &receiver, bool asMember) const;

    SteadyTime m_now { std::chrono::seconds(100) };
    serving::Customer m_customer;
    serving::QuotaTolerance m_tolerance;
    double m_unitsPerSecond = 0;
    double m_requestUnits = 1;
    std::vector<Instance> m_instances;
    std::map<std::string, std::size_t> m_byName;
    std::vector<HangingCall> m_hangingCalls;
    double m_asked = 0;
    double m_refused = 0;
    std::vector<double> m_admittedByTick;
    Random m_random { 1 };
};

} // namespace snipestall::gateway
