#include "snipestall/serving/rollout_judge.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace snipestall::serving {

namespace {

/// Prior of the normal failure rate, in answers.
constexpr double PriorFailures = 0.05;
constexpr double PriorAnswers = 5;

LogHistogram grownBy(const LogHistogram &now, const LogHistogram &before)
{
    LogHistogram grown;
    for (const auto &[bin, count] : now.bins()) {
        const auto found = before.bins().find(bin);
        const double more = count - (found == before.bins().end() ? 0 : found->second);
        if (more > 0)
            grown.add(bin, more);
    }
    return grown;
}

VersionCounts grownBy(const VersionCounts &now, const VersionCounts &before)
{
    VersionCounts grown;
    grown.answers = std::max(0.0, now.answers - before.answers);
    grown.failures = std::clamp(now.failures - before.failures, 0.0, grown.answers);
    grown.latency = grownBy(now.latency, before.latency);
    grown.pause = grownBy(now.pause, before.pause);
    return grown;
}

void mergeInto(const LogHistogram &more, LogHistogram &histogram)
{
    for (const auto &[bin, count] : more.bins())
        histogram.add(bin, count);
}

double partFrom(const LogHistogram &histogram, int bin)
{
    return histogram.from(bin) / std::max(histogram.total(), 1.0);
}

double failureRate(const VersionCounts &counts)
{
    return (counts.failures + PriorFailures) / (counts.answers + PriorAnswers);
}

std::string evidenceText(const char *what, const std::string &route, double odds)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.1f", odds);
    return std::string(what) + " on " + route + ", log odds " + text.data();
}

} // namespace

void RolloutJudge::Recent::add(const VersionCounts &grown, SteadyTime now)
{
    // Once the old version gets no more requests, its last rates stay the normal ones.
    if (grown.answers > 0 || grown.latency.total() > 0) {
        const std::chrono::duration<double> passed = now - m_updatedAt;
        const double kept = std::exp(-passed / std::chrono::duration<double>(m_length));
        m_counts.answers *= kept;
        m_counts.failures *= kept;
        m_counts.latency.scale(kept);
        m_counts.pause.scale(kept);
        m_updatedAt = now;
    }
    m_counts.answers += grown.answers;
    m_counts.failures += grown.failures;
    mergeInto(grown.latency, m_counts.latency);
    mergeInto(grown.pause, m_counts.pause);
}

void RolloutJudge::judgeFailures(const VersionCounts &grown, Route &route)
{
    if (route.recent.counts().answers < MinOldAnswers)
        return;
    const double recent = failureRate(route.recent.counts());
    const double justNow = failureRate(route.justNow.counts());
    const double rate = std::max({ recent, justNow, failureRate(route.all) });
    if (rate > IllRate || justNow > RisingFactor * recent + RisingMargin)
        return;
    route.fewFailures.add(grown.failures, grown.answers, rate);
    route.manyFailures.add(grown.failures, grown.answers, rate);
    m_allFailures.add(grown.failures, grown.answers, rate);
    route.answers += grown.answers;
}

void RolloutJudge::addSlow(LogHistogram VersionCounts::*what, const VersionCounts &grown,
                           const Route &route, int binsAbove, double factor, double margin,
                           std::initializer_list<RateMonitor *> tests)
{
    const LogHistogram &recent = route.recent.counts().*what;
    const LogHistogram &justNow = route.justNow.counts().*what;
    if (recent.total() < MinOldAnswers)
        return;
    int median = recent.medianBin();
    if (justNow.total() >= MinOldAnswers) {
        if (justNow.medianBin() >= median + LogHistogram::BinsPerDoubling)
            return; // The old version has just become slower itself.
        median = std::max(median, justNow.medianBin());
    }
    const int limit = median + binsAbove;
    const double normal = std::max(partFrom(recent, limit), partFrom(justNow, limit));
    const LogHistogram &latest = grown.*what;
    for (RateMonitor *test : tests)
        test->add(latest.from(limit), latest.total(), factor * normal + margin);
}

void RolloutJudge::judgeLatency(const VersionCounts &grown, Route &route)
{
    addSlow(&VersionCounts::latency, grown, route, SlowBins, 1.25, 0.05,
            { &route.slow, &m_allSlow });
    addSlow(&VersionCounts::latency, grown, route, VerySlowBins, 1.5, 0.03, { &route.verySlow });
    addSlow(&VersionCounts::pause, grown, route, SlowPauseBins, 1.25, 0.05, { &route.slowPauses });
}

void RolloutJudge::update(const RolloutCounts &counts, SteadyTime now)
{
    if (m_verdict == RolloutVerdict::Bad)
        return;
    for (const auto &[name, total] : counts) {
        const RouteCounts &before = m_last[name];
        Route &route = m_routes[name];
        const VersionCounts normal = grownBy(total.oldVersion, before.oldVersion);
        route.recent.add(normal, now);
        route.justNow.add(normal, now);
        route.all.answers += normal.answers;
        route.all.failures += normal.failures;
        const VersionCounts grown = grownBy(total.newVersion, before.newVersion);
        judgeFailures(grown, route);
        judgeLatency(grown, route);
        route.arrived = total.arrived;
    }
    m_last = counts;
    decide();
}

template<typename Function>
void RolloutJudge::eachTest(Function seen) const
{
    seen("failures", "all routes", m_allFailures);
    seen("slow first bytes", "all routes", m_allSlow);
    for (const auto &[name, route] : m_routes) {
        seen("failures", name, route.fewFailures);
        seen("many failures", name, route.manyFailures);
        seen("slow first bytes", name, route.slow);
        seen("very slow first bytes", name, route.verySlow);
        seen("slow streams", name, route.slowPauses);
    }
}

double RolloutJudge::doubt() const
{
    double highest = 0;
    eachTest([&highest](const char *, const std::string &, const RateMonitor &test) {
        highest = std::max(highest, test.raised());
    });
    return highest;
}

double RolloutJudge::answers() const
{
    double sum = 0;
    for (const auto &[name, route] : m_routes)
        sum += route.answers;
    return sum;
}

bool RolloutJudge::allRoutes(double minAnswers) const
{
    double arrived = 0;
    for (const auto &[name, route] : m_routes)
        arrived += route.arrived;
    return std::all_of(m_routes.begin(), m_routes.end(), [&](const auto &entry) {
        const Route &route = entry.second;
        if (route.arrived < RareRoute * arrived)
            return true;
        // A route on which more answers speak for a fault than against it waits for more of them.
        const double leaning = std::max({ route.manyFailures.raised(), route.slow.raised(),
                                          route.verySlow.raised(), route.slowPauses.raised() });
        return route.answers >= minAnswers && leaning < LeaningOdds;
    });
}

std::string RolloutJudge::progress() const
{
    std::array<char, 96> text {};
    std::snprintf(text.data(), text.size(),
                  "log odds for good %.1f, for failures %.1f, for slow %.1f",
                  m_allFailures.normal(), m_allFailures.raised(), m_allSlow.raised());
    std::string progress = text.data();
    double highest = 0;
    std::string doubted;
    eachTest([&](const char *what, const std::string &route, const RateMonitor &test) {
        if (test.raised() <= highest)
            return;
        highest = test.raised();
        doubted = evidenceText(what, route, highest);
    });
    if (!doubted.empty())
        progress += ", most doubt: " + doubted;
    for (const auto &[name, route] : m_routes)
        progress += ", " + name + " " + std::to_string(static_cast<int>(route.answers));
    return progress;
}

void RolloutJudge::decide()
{
    eachTest([this](const char *what, const std::string &route, const RateMonitor &test) {
        if (test.raised() <= BadOdds)
            return;
        m_verdict = RolloutVerdict::Bad;
        m_reason = evidenceText(what, route, test.raised());
    });
    if (m_verdict == RolloutVerdict::Bad)
        return;
    const double odds = m_allFailures.normal();
    const bool leans = m_allFailures.raised() > PromisingOdds;
    if (odds >= GoodOdds && !leans && allRoutes(GoodAnswers))
        m_verdict = RolloutVerdict::Good;
    else if (odds >= PromisingOdds && !leans && allRoutes(PromisingAnswers))
        m_verdict = RolloutVerdict::Promising;
    else
        m_verdict = RolloutVerdict::Undecided;
}

} // namespace snipestall::serving
