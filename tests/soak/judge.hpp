#pragma once

#include "soak/attempt.hpp"
#include "soak/fault_plan.hpp"
#include "soak/version_order.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipestall::soak {

/// Everything that the judge needs to know about one run.
struct RunRecord
{
    Moment startedAt;
    std::vector<Fault> faults;
    /// Time since the start of the run after which no fault is in force.
    std::chrono::milliseconds quietFrom { 0 };
    std::vector<Attempt> attempts;
    std::vector<Moment> addedRoutes;
    std::vector<VersionOrder> versionOrders;
    std::string runLog;
    std::string dutyLog;
    std::string gatewayLog;
    std::vector<std::string> unexpectedEnds;
    /// Bytes by which the memory of each gateway has grown at most.
    std::vector<std::size_t> memoryGrowth;
};

/// Compares the answers that callers received with the requests that backend servers ran and with
/// the calls of duties. Reports one line for each guarantee that was violated.
class Judge
{
public:
    explicit Judge(const RunRecord &record);

    [[nodiscard]] std::vector<std::string> findings();

private:
    /// Time that an instance needs after a fault until its guarantees hold again.
    static constexpr std::chrono::milliseconds ContactMargin { 3000 };

    struct Run
    {
        std::string server;
        std::string method;
        std::string target;
        std::string customer;
        std::string key;
        std::uint64_t bodyHash = 0;
        Moment time;
    };
    /// A request that reached a server, whether it was run or not.
    struct Arrival
    {
        std::string attempt;
        std::string server;
        std::string service;
        Moment time;
    };
    /// A server asked for rest, or said that it leaves, in its answer to an attempt.
    struct Notice
    {
        std::string attempt;
        std::string server;
        Moment time;
        /// Zero if the server leaves.
        std::chrono::milliseconds rest { 0 };
    };
    /// A server began or ceased to name a limit.
    struct LimitChange
    {
        std::string server;
        Moment time;
        bool named = false;
    };

    void readRuns();
    static Arrival readArrival(std::istream &words);
    static Notice readNotice(std::istream &words);
    static LimitChange readLimitChange(std::istream &words);
    void judgeAttempt(const Attempt &attempt);
    void judgeRuns(const Attempt &attempt, const std::vector<Run> &runs);
    void judgeAnswer(const Attempt &attempt, const std::vector<Run> &runs);
    void judgeStream(const Attempt &attempt);
    /// Finds streams of which servers of several software versions wrote events.
    void judgeVersions();
    /// Compares the log lines of refusals by load with what callers received and servers ran.
    void judgeOverloadRefusals();
    void judgeOverloadRefusal(const Attempt &attempt, std::chrono::milliseconds retryAfter);
    void judgeLoss(const Attempt &attempt, const std::vector<Run> &runs);
    void judgeRecovery();
    void judgeDuties();
    /// Compares the repeats of all instances with the limit on them.
    void judgeRepeats();
    /// Compares what a server with a limit got with that limit.
    void judgeLimits();
    /// Calls `handle` with each line of the gateways' logs of this event that can be read.
    void forEachEvent(const std::string &name,
                      const std::function<void(const boost::json::value &)> &handle) const;
    /// Counts what a server got from instances that it had asked for rest, or that had passed on
    /// that it leaves.
    void judgeNotices();
    void judgeNotice(const Notice &notice, const Attempt &asked);
    /// Counts the requests with a part that ends servers which reach servers although enough of
    /// these have ended.
    void judgeCrashingPart();
    void judgeLimit(const std::string &server, Moment from, Moment to);
    /// Compares what a version got that was ordered with what a bad one may get, and its end.
    void judgeOrders();
    [[nodiscard]] std::size_t sentToNewVersion(const VersionOrder &order, Moment from,
                                               Moment to) const;
    /// Whether an unplanned fault was in force between `from` and `to`, or had ended less than
    /// `margin` before `from`.
    [[nodiscard]] bool unplannedFaultWithin(Moment from, Moment to,
                                            std::chrono::milliseconds margin) const;
    /// Whether an instance was not running at some time between `from` and `to`.
    [[nodiscard]] bool gatewayFaultWithin(Moment from, Moment to) const;
    void addFinding(const Attempt &attempt, const std::string &what);

    const RunRecord &m_record;
    std::map<std::string, std::vector<Run>> m_runs;
    std::vector<Arrival> m_arrivals;
    std::vector<LimitChange> m_limitChanges;
    std::vector<Notice> m_notices;
    /// Attempts that an instance forwarded to another one.
    std::set<std::string> m_forwarded;
    std::map<std::string, const Attempt *> m_attempts;
    /// Id of the last event of each stream that a client has received.
    std::map<std::string, int> m_lastEvents;
    /// Versions that wrote events of each stream, by the attempt that began it.
    std::map<std::string, std::set<std::string>> m_streamVersions;
    std::vector<std::string> m_findings;
};

} // namespace snipestall::soak
