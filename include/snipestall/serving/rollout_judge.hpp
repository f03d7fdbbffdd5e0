#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/rate_monitor.hpp"
#include "snipestall/serving/rollout_counts.hpp"

#include <chrono>
#include <initializer_list>
#include <map>
#include <string>

namespace snipestall::serving {

/// What is known of a new version.
enum class RolloutVerdict {
    Undecided,
    /// Good enough for a larger part of the requests.
    Promising,
    /// Good enough for all requests.
    Good,
    Bad,
};

/// Compares the answers of a new version with those that the old one gives on the same routes at
/// the same time.
///
/// Load: a bad version fails a part of its requests or answers several times more slowly, at once
/// or later, under load or on one route only, while the old version may be ill for another reason.
/// Harm: callers get bad answers for as long as the version is not recognised, and a good version
/// that is turned away costs the operators the rollout. Each route therefore has sequential tests
/// of its own, and all routes together one more, with the recent rate of the old version as the
/// normal one.
class RolloutJudge
{
public:
    /// `counts` are totals since the order was given. To be called a few times a second.
    void update(const RolloutCounts &counts, SteadyTime now);
    [[nodiscard]] RolloutVerdict verdict() const { return m_verdict; }
    /// Logarithm of the highest odds for a fault that any test shows.
    [[nodiscard]] double doubt() const;
    /// Whether there is so much evidence of a fault, if not enough for a verdict, that the version
    /// is not kept on trial beyond the time of its order, or by a holder that knows no more.
    static bool isDoubtful(double doubt) { return doubt > DoubtfulOdds; }
    /// Answers of the new version that were judged.
    [[nodiscard]] double answers() const;
    /// The evidence for a bad verdict, for log lines.
    [[nodiscard]] const std::string &reason() const { return m_reason; }
    /// What is known so far, for log lines.
    [[nodiscard]] std::string progress() const;

private:
    /// Odds of e^14 for a fault. With some 10,000 answers a rollout and a dozen tests, a good
    /// version passes for bad in less than one rollout in a thousand.
    static constexpr double BadOdds = 14;
    /// Odds for a good version, over all routes: 10 to 1 for a larger part, 400 to 1 for all.
    static constexpr double PromisingOdds = 2.3;
    static constexpr double GoodOdds = 6;
    /// Odds for a fault on any route, with which more answers are awaited. A good version reaches
    /// lower ones by chance on one of many routes.
    static constexpr double LeaningOdds = 5;
    static constexpr double DoubtfulOdds = 8;
    /// Answers on a route, with which a fault of a third of them shows.
    static constexpr double PromisingAnswers = 10;
    static constexpr double GoodAnswers = 20;
    /// Routes with a smaller part of the requests than this are judged with the others only:
    /// waiting for their answers would take longer than most orders allow.
    static constexpr double RareRoute = 0.02;
    /// Fewer recent answers of the old version give no normal rate.
    static constexpr double MinOldAnswers = 15;
    /// If the old version fails more often than this, nothing can be compared with it.
    static constexpr double IllRate = 0.35;
    /// Nor while its failures have just become so many times more frequent, plus a part.
    static constexpr double RisingFactor = 1.5;
    static constexpr double RisingMargin = 0.02;
    /// Times over which the answers of the old version count as recent: long enough for a rate on a
    /// route with few requests, and short enough to follow a trouble that begins. What is worse in
    /// either of them counts as normal.
    static constexpr std::chrono::milliseconds RecentFor { 3000 };
    static constexpr std::chrono::milliseconds JustNow { 300 };
    /// Latencies count as slow from this many bins above the median of the old version: twice and
    /// four times as long.
    static constexpr int SlowBins = 2 * LogHistogram::BinsPerDoubling / 2;
    static constexpr int VerySlowBins = 2 * LogHistogram::BinsPerDoubling;
    /// The pause between tokens depends on how many requests an engine runs, by a factor of two.
    static constexpr int SlowPauseBins = 3 * LogHistogram::BinsPerDoubling / 2;

    /// Answers of the old version, of which the older ones count less.
    class Recent
    {
    public:
        explicit Recent(std::chrono::milliseconds length)
            : m_length(length)
        { }

        void add(const VersionCounts &grown, SteadyTime now);
        [[nodiscard]] const VersionCounts &counts() const { return m_counts; }

    private:
        std::chrono::milliseconds m_length;
        VersionCounts m_counts;
        SteadyTime m_updatedAt;
    };
    struct Route
    {
        Recent recent { RecentFor };
        Recent justNow { JustNow };
        /// Answers and failures of the old version since the order was given. Once it gets no more
        /// requests, its last few answers alone would be too uncertain a measure.
        VersionCounts all;
        RateMonitor fewFailures { 0.05 };
        RateMonitor manyFailures { 0.3 };
        RateMonitor slow { 0.25 };
        RateMonitor verySlow { 0.08 };
        RateMonitor slowPauses { 0.25 };
        double answers = 0;
        double arrived = 0;
    };

    /// Adds the part of values that lie this many bins above the old version's median. A version
    /// whose servers are new may be a little slower until their caches are filled, which `factor`
    /// and `margin` allow for.
    static void addSlow(LogHistogram VersionCounts::*what, const VersionCounts &grown,
                        const Route &route, int binsAbove, double factor, double margin,
                        std::initializer_list<RateMonitor *> tests);
    void judgeFailures(const VersionCounts &grown, Route &route);
    void judgeLatency(const VersionCounts &grown, Route &route);
    void decide();
    /// Calls `seen` with the name of each test, its route and its result.
    template<typename Function>
    void eachTest(Function seen) const;
    [[nodiscard]] bool allRoutes(double minAnswers) const;

    std::map<std::string, Route> m_routes;
    RolloutCounts m_last;
    RateMonitor m_allFailures { 0.05 };
    RateMonitor m_allSlow { 0.25 };
    RolloutVerdict m_verdict = RolloutVerdict::Undecided;
    std::string m_reason;
};

} // namespace snipestall::serving
