#pragma once

#include "snipestall/base/random.hpp"
#include "snipestall/serving/fleet_totals.hpp"
#include "snipestall/serving/rollout_counts.hpp"
#include "snipestall/serving/rollout_plan.hpp"
#include "snipestall/serving/rollout_view.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::serving {

/// How the servers of a version misbehave.
struct VersionFault
{
    /// Part of the answers that are failures, in addition to the normal ones.
    double failures = 0;
    /// Factor by which first bytes come later.
    double slowdown = 1;
    /// The fault begins this long after the order.
    std::chrono::milliseconds from { 0 };
    std::chrono::milliseconds until { std::chrono::hours(1) };
    /// The fault shows only while a server runs at least this many requests.
    int minInFlight = 0;
    /// The fault shows on this route only; on all if it is empty.
    std::string route;
};

/// What happens beside a rollout.
struct RolloutTrouble
{
    enum class Kind {
        None,
        /// The holder of the lease stops, and another one follows when the lease has run out.
        HolderKilled,
        /// The holder is suspended, and acts again after another one has taken over.
        HolderFrozen,
        /// The holder reaches neither the store nor its peers.
        HolderCutOff,
        /// The store answers nothing.
        StoreSilent,
        AllKilled,
    };
    Kind kind = Kind::None;
    std::chrono::milliseconds at { 0 };
    std::chrono::milliseconds length { 0 };
};

/// For a time, callers send this many times their usual requests.
struct LoadChange
{
    double factor = 1;
    std::chrono::milliseconds from { 0 };
    std::chrono::milliseconds until { 0 };
};

/// One rollout in simulated time, without sockets: many instances that send requests, reports and
/// stages that are under way, a store, and servers of two versions.
class RolloutModel
{
public:
    static constexpr ExposureLimit Limit { 0.1, 50 };

    struct Options
    {
        std::size_t instances = 60;
        int oldServers = 60;
        int newServers = 60;
        double requestsPerSecond = 320;
        LoadChange load;
        std::chrono::milliseconds duration { 12000 };
        /// Time after the order at which the new servers are listed.
        std::chrono::milliseconds listedAfter { 1000 };
        VersionFault oldFault;
        VersionFault newFault;
        RolloutTrouble trouble;
        std::uint64_t seed = 1;
    };
    struct Result
    {
        RolloutStep step = RolloutStep::Waiting;
        std::string reason;
        /// Until the deadline of the order.
        double arrived = 0;
        double exposed = 0;
        double badAnswers = 0;
        /// From the 50th bad answer to the last request sent to the new version afterwards.
        std::chrono::milliseconds lastSentAfterBad { 0 };
        /// When the order was completed or rolled back.
        std::chrono::milliseconds endedAt { 0 };
        /// Requests that ran on old servers when these were stopped.
        int cutOff = 0;
        /// Requests that found no server.
        int refused = 0;
    };

    explicit RolloutModel(Options options);

    /// Plays twice the duration of the order.
    Result run();

private:
    struct Instance
    {
        RolloutView view { true };
        SteadyTime downUntil;
        bool cutOff = false;
    };
    struct Server
    {
        int inFlight = 0;
        bool isNew = false;
    };
    struct Request
    {
        std::size_t instance = 0;
        std::size_t server = 0;
        std::string route;
        bool failed = false;
        double latency = 0;
        bool isStream = false;
        /// Its first byte has not come yet.
        bool waits = true;
        SteadyTime endsAt;
    };
    /// An instance that may hold the lease, and what it has heard.
    struct Holder
    {
        FleetTotals totals;
        RolloutJudge judge;
        std::unique_ptr<RolloutPlan> plan;
        std::size_t instance = 0;
    };
    struct Report
    {
        SteadyTime arrivesAt;
        std::size_t group = 0;
        std::uint64_t series = 0;
        Totals totals;
    };
    struct Message
    {
        SteadyTime arrivesAt;
        std::size_t instance = 0;
        RolloutStage stage;
    };

    static constexpr std::chrono::milliseconds Tick { 10 };

    [[nodiscard]] std::chrono::milliseconds elapsed() const;
    [[nodiscard]] bool isUp(const Instance &instance) const;
    [[nodiscard]] bool storeAnswers() const;
    [[nodiscard]] bool applies(const VersionFault &fault, const Server &server,
                               const std::string &route) const;
    void beginTrouble();
    void arrive();
    void send(std::size_t instance, const std::string &route, bool isStream);
    void answerFirstByte(Request request);
    void finish(const Request &request);
    void sendReports();
    void deliver();
    void judge();
    void issue(Holder &holder, const RolloutStage &stage);
    [[nodiscard]] std::uint64_t followedByAll() const;
    /// Requests on old servers that instances in contact have sent.
    [[nodiscard]] std::uint32_t runningOnOld() const;
    std::chrono::milliseconds delay();
    double normalLatency(bool isStream);

    Options m_options;
    Random m_random;
    SteadyTime m_start { std::chrono::seconds(100) };
    SteadyTime m_now { m_start };
    RolloutOrder m_order;
    std::vector<Instance> m_instances;
    std::vector<Server> m_servers;
    std::multimap<SteadyTime, Request> m_running;
    /// What the instances of each group have counted, which their hub reports.
    std::vector<FleetTotals> m_groups;
    std::vector<std::uint64_t> m_series;
    std::deque<Report> m_reports;
    std::deque<Message> m_messages;
    std::vector<Holder> m_holders;
    std::size_t m_holder = 0;
    /// The next holder acts from this time on.
    SteadyTime m_leaseFrom;
    RolloutRecord m_stored;
    bool m_troubleBegun = false;
    bool m_oldStopped = false;
    SteadyTime m_fiftiethBadAt;
    Result m_result;
};

} // namespace snipestall::serving
