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

/// A fleet of instances that exchange reports as `LoadExchange` does, in simulated time and without
/// sockets, for tests of what the instances agree on while some of them stop.
class FleetModel
{
public:
    static constexpr std::chrono::milliseconds Tick { 10 };

    /// `each` instances in each of `dataCentres`, which have been serving for a while.
    FleetModel(int dataCentres, int each, const serving::Customer &customer,
               serving::QuotaTolerance tolerance = {});

    /// Units a second that callers ask for, spread evenly over the instances that are up, in
    /// requests of this size.
    void setDemand(double unitsPerSecond, double requestUnits);
    /// The processes with these indices stop; they are back, knowing nothing, after `downFor`.
    void kill(const std::vector<std::size_t> &indices, std::chrono::milliseconds downFor);
    /// These don't answer calls for a while, though they serve their callers.
    void muteAsHubs(const std::vector<std::size_t> &indices, std::chrono::milliseconds length);
    /// A network partition separates these from all others for a while; they reach each other.
    void cutOff(const std::vector<std::size_t> &indices, std::chrono::milliseconds length);
    void run(std::chrono::milliseconds length);

    /// Indices of the instances that are hubs in the eyes of one that is up.
    [[nodiscard]] std::vector<std::size_t> hubs() const;
    [[nodiscard]] std::size_t size() const { return m_instances.size(); }
    [[nodiscard]] double asked() const { return m_asked; }
    [[nodiscard]] double refused() const { return m_refused; }
    /// The most units admitted within any window of this length, on whole ticks.
    [[nodiscard]] double mostAdmittedWithin(std::chrono::milliseconds window) const;
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

    /// A call through a partition, which its caller gives up at a time.
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
    static void take(Instance &receiver, const exchange::v1::LoadReport &report, SteadyTime now);
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
