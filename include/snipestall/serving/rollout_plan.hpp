#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/rollout.hpp"
#include "snipestall/serving/rollout_counts.hpp"
#include "snipestall/serving/rollout_judge.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipestall::serving {

/// How many requests of a service a bad version may get during an order: a part of all requests,
/// plus a number.
struct ExposureLimit
{
    double share = 0;
    double tolerance = 0;
};

/// What is stored of an order, so that the next holder of the lease continues it.
struct RolloutRecord
{
    std::int64_t order = 0;
    std::string version;
    RolloutStep step = RolloutStep::Waiting;
    std::uint64_t number = 0;
    /// When the order was first seen, on the clock of the store.
    std::chrono::milliseconds seenAt { 0 };
    /// Requests that arrived, and at most how many of them went to the new version.
    double arrived = 0;
    double exposed = 0;
    /// Logarithm of the odds for a fault.
    double doubt = 0;
};

/// What the holder of the lease knows at one moment.
struct RolloutState
{
    SteadyTime now;
    /// Time since the order was first seen.
    std::chrono::milliseconds elapsed { 0 };
    /// Servers that take work.
    int oldServers = 0;
    int newServers = 0;
    /// Requests of all instances that run on old servers, as far as is known.
    std::uint32_t runningOnOld = 0;
    /// The lowest number of a stage that any instance in contact follows.
    std::uint64_t followedByAll = 0;
    /// Whether the target is already the only version in service.
    bool targetInService = false;
};

/// Decides the stages of one order: which part of the requests goes to the new version, and when
/// the order is completed or rolled back. It runs at the holder of the lease.
///
/// Load: an order has to be completed within seconds, on hundreds of instances. Harm: a bad version
/// that gets many requests before it is recognised; requests that are cut off with the old servers.
/// The new version therefore gets no more than `ExposureLimit` allows until it has proved itself,
/// and the old servers are given up only after every instance in contact has confirmed that it
/// sends them nothing and nothing runs there any more.
class RolloutPlan
{
public:
    /// `judge` has seen what this instance heard before it held the lease. `fencingToken` makes the
    /// stages of this holder newer than those of all holders before.
    RolloutPlan(RolloutOrder order, ExposureLimit limit, const RolloutRecord &record,
                RolloutJudge judge, std::int64_t fencingToken);

    /// Returns the stage that is to be issued now.
    RolloutStage update(const RolloutCounts &counts, const RolloutState &state);
    /// What has to be stored with the last stage. The count of exposed requests includes those that
    /// may be sent until the next write.
    [[nodiscard]] RolloutRecord record() const;
    /// Whether the record has to be stored before the last stage is issued.
    [[nodiscard]] bool mustStore() const { return m_step != m_storedStep || !m_everStored; }
    /// Whether the record should be stored to keep the counts.
    [[nodiscard]] bool shouldStore(SteadyTime now) const;
    void stored(const RolloutRecord &record, SteadyTime now);
    /// Why the step is what it is, for log lines.
    [[nodiscard]] const std::string &reason() const { return m_reason; }
    /// The evidence so far, for log lines.
    [[nodiscard]] std::string progress() const { return m_judge.progress(); }
    [[nodiscard]] std::chrono::milliseconds seenAt() const { return m_seenAt; }
    [[nodiscard]] RolloutStep step() const { return m_step; }
    [[nodiscard]] const RolloutOrder &order() const { return m_order; }
    [[nodiscard]] double arrived() const { return m_arrived; }
    [[nodiscard]] double exposed() const { return m_exposed; }

private:
    /// Parts of the limit that are used on purpose. The rest is for bursts, and for requests whose
    /// reports are under way.
    static constexpr double UsedShare = 0.8;
    static constexpr double UsedTolerance = 0.75;
    /// Time over which the free part of the limit is spent: longer than a report and the next stage
    /// need for their way.
    static constexpr std::chrono::milliseconds SpendingTime { 1200 };
    /// Largest part of a route's requests during a trial.
    static constexpr double MaxTrialShare = 0.5;
    static constexpr double GrowingShare = 0.3;
    /// Part of the limit that a version may use up before it gets all requests.
    static constexpr double UsedWhileGrowing = 0.95;
    /// A holder that has fewer answers than this knows less than the one before it stored.
    static constexpr double FewAnswers = 20;
    /// Rise of the doubt that is stored at once.
    static constexpr double StoredDoubtStep = 2;
    /// Parts of an order's time: the trial lasts at least until the first, so that a fault that
    /// comes late shows, and the switch is not before the second.
    static constexpr double TrialPart = 0.3;
    static constexpr double SwitchPart = 0.45;
    /// Time with a larger part before the new version gets all requests, so that a fault that comes
    /// under load shows.
    static constexpr std::chrono::milliseconds ShortestGrowth { 1000 };
    /// Answers that must have begun to requests of that time. With fewer requests it lasts longer:
    /// a fault that has just begun shows by answers, not by time.
    static constexpr double FewestGrowthAnswers = 60;
    /// An order that looks good is continued for this many times its duration.
    static constexpr int LatestEnd = 2;
    /// The new version takes all requests only with this part of the servers that the old one has.
    static constexpr double MinServersPart = 0.5;
    /// A server on trial gets this many times the load of the others, because some faults show only
    /// under load.
    static constexpr double TrialLoad = 1.5;
    static constexpr std::chrono::milliseconds StoreInterval { 1000 };
    static constexpr unsigned TokenShift = 24;

    struct Rate
    {
        double last = 0;
        double perSecond = 0;
    };

    void count(const RolloutCounts &counts, SteadyTime now);
    void advance(const RolloutState &state);
    void advanceTrial(const RolloutState &state);
    void advanceGrowing(const RolloutState &state);
    void enter(RolloutStep step, std::string reason);
    /// The step that instances are told: a step forward only once it is stored.
    [[nodiscard]] RolloutStep issuedStep() const;
    [[nodiscard]] bool passed(const RolloutState &state, double part) const;
    /// Whether every instance in contact follows the present step and nothing runs on old servers.
    [[nodiscard]] bool isOldIdle(const RolloutState &state) const;
    /// Returns true if the order was given up.
    bool giveUpWhenLate(const RolloutState &state);
    /// Requests per second that may go to the new version without using up more than these parts
    /// of the limit.
    [[nodiscard]] double spendablePerSecond(double share, double tolerance) const;
    [[nodiscard]] double growingShare() const;
    [[nodiscard]] double arrivingPerSecond() const;
    void setTrialShares(RolloutStage &stage) const;
    [[nodiscard]] std::uint32_t trialServers(const RolloutState &state) const;

    RolloutOrder m_order;
    ExposureLimit m_limit;
    RolloutJudge m_judge;
    RolloutStep m_step;
    RolloutStep m_storedStep;
    bool m_everStored = false;
    std::string m_reason;
    std::uint64_t m_number;
    /// Number of the first stage of the present step.
    std::uint64_t m_stepNumber = 0;
    std::chrono::milliseconds m_seenAt;
    /// Counts of earlier holders, as they were stored.
    double m_arrivedBefore;
    double m_exposedBefore;
    double m_doubtBefore;
    double m_storedDoubt = 0;
    /// The counts that this holder knew when it began, which the stored ones may include.
    std::optional<RouteCounts> m_base;
    double m_arrived = 0;
    double m_exposed = 0;
    std::map<std::string, Rate> m_rates;
    SteadyTime m_countedAt;
    SteadyTime m_storedAt;
    SteadyTime m_growingSince;
    double m_sentBeforeGrowing = 0;
    /// Requests sent to the new version and answers that it has begun, as this holder knows them.
    double m_sent = 0;
    double m_begun = 0;
    /// Requests per second that the last stage sends to the new version.
    double m_sentPerSecond = 0;
};

} // namespace snipestall::serving
