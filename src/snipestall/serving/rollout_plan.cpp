#include "snipestall/serving/rollout_plan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace snipestall::serving {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Weight of the newest measurement in a rate of arrivals.
constexpr double RateSmoothing = 0.3;

/// Between two holders of the lease every instance falls back to the old version, and a fault that
/// began in the meantime is not known yet. So the next one begins with a trial again.
RolloutStep stepToResume(RolloutStep stored)
{
    const bool isBeyondTrial = stored == RolloutStep::Growing || stored == RolloutStep::Switched;
    return isBeyondTrial ? RolloutStep::Trial : stored;
}

} // namespace

RolloutPlan::RolloutPlan(RolloutOrder order, ExposureLimit limit, const RolloutRecord &record,
                         RolloutJudge judge, std::int64_t fencingToken)
    : m_order(std::move(order))
    , m_limit(limit)
    , m_judge(std::move(judge))
    , m_step(stepToResume(record.step))
    , m_storedStep(m_step)
    , m_number(std::max(record.number, static_cast<std::uint64_t>(fencingToken) << TokenShift))
    , m_seenAt(record.seenAt)
    , m_arrivedBefore(record.arrived)
    , m_exposedBefore(record.exposed)
    , m_doubtBefore(record.doubt)
{ }

void RolloutPlan::count(const RolloutCounts &counts, SteadyTime now)
{
    RouteCounts sum;
    double begun = 0;
    const double seconds = Seconds(now - m_countedAt).count();
    const bool first = !m_base;
    for (const auto &[route, each] : counts) {
        sum.arrived += each.arrived;
        sum.exposed += each.exposed;
        begun += std::max(each.newVersion.answers, each.newVersion.latency.total());
        Rate &rate = m_rates[route];
        if (!first && seconds > 0)
            rate.perSecond +=
                RateSmoothing * ((each.arrived - rate.last) / seconds - rate.perSecond);
        rate.last = each.arrived;
    }
    m_countedAt = now;
    m_sent = sum.exposed;
    m_begun = begun;
    if (first)
        m_base = sum;
    m_arrived = std::max(sum.arrived, m_arrivedBefore + sum.arrived - m_base->arrived);
    m_exposed = std::max(sum.exposed, m_exposedBefore + sum.exposed - m_base->exposed);
}

bool RolloutPlan::passed(const RolloutState &state, double part) const
{
    return Seconds(state.elapsed) >= part * Seconds(m_order.duration);
}

bool RolloutPlan::isOldIdle(const RolloutState &state) const
{
    return m_stepNumber > 0 && state.followedByAll >= m_stepNumber && state.runningOnOld == 0;
}

void RolloutPlan::enter(RolloutStep step, std::string reason)
{
    m_step = step;
    m_reason = std::move(reason);
}

RolloutStep RolloutPlan::issuedStep() const
{
    return m_step == RolloutStep::RolledBack ? m_step : m_storedStep;
}

bool RolloutPlan::giveUpWhenLate(const RolloutState &state)
{
    const bool hopeless = state.newServers == 0 || RolloutJudge::isDoubtful(m_judge.doubt());
    if (!passed(state, hopeless ? 1 : LatestEnd))
        return false;
    enter(RolloutStep::RolledBack,
          state.newServers == 0 ? "no server of the new version"
                                : "not found good in time: " + m_judge.progress());
    return true;
}

void RolloutPlan::advanceTrial(const RolloutState &state)
{
    const RolloutVerdict verdict = m_judge.verdict();
    if (giveUpWhenLate(state) || verdict == RolloutVerdict::Undecided || !passed(state, TrialPart))
        return;
    m_growingSince = state.now;
    m_sentBeforeGrowing = m_sent;
    enter(RolloutStep::Growing, "promising");
}

void RolloutPlan::advanceGrowing(const RolloutState &state)
{
    if (giveUpWhenLate(state))
        return;
    const RolloutVerdict verdict = m_judge.verdict();
    if (verdict == RolloutVerdict::Undecided) {
        enter(RolloutStep::Trial, "no longer promising");
        return;
    }
    const bool enough = state.newServers >= MinServersPart * state.oldServers;
    const bool tried = state.now - m_growingSince >= ShortestGrowth
        && m_begun >= m_sentBeforeGrowing + FewestGrowthAnswers;
    if (verdict == RolloutVerdict::Good && enough && tried && passed(state, SwitchPart))
        enter(RolloutStep::Switched, "good");
}

void RolloutPlan::advance(const RolloutState &state)
{
    // A stored end is final, and one whose write has no answer may be stored.
    if (isFinal(m_step))
        return;
    if (m_judge.verdict() == RolloutVerdict::Bad) {
        enter(RolloutStep::RolledBack, m_judge.reason());
        return;
    }
    if (RolloutJudge::isDoubtful(m_doubtBefore) && m_judge.answers() < FewAnswers) {
        enter(RolloutStep::RolledBack, "in doubt when the holder before stopped");
        return;
    }
    if (mustStore())
        return;
    switch (m_step) {
    case RolloutStep::Waiting:
        if (state.targetInService)
            enter(RolloutStep::Switched, "already in service");
        else if (state.newServers > 0)
            enter(RolloutStep::Trial, "servers listed");
        else
            giveUpWhenLate(state);
        break;
    case RolloutStep::Trial:
        advanceTrial(state);
        break;
    case RolloutStep::Growing:
        advanceGrowing(state);
        break;
    case RolloutStep::Switched:
        if (isOldIdle(state))
            enter(RolloutStep::Completing, "old servers idle");
        break;
    case RolloutStep::Completing:
        if (isOldIdle(state))
            enter(RolloutStep::Completed, "old servers idle");
        break;
    default:
        break;
    }
}

double RolloutPlan::spendablePerSecond(double share, double tolerance) const
{
    const double free =
        share * m_limit.share * m_arrived + tolerance * m_limit.tolerance - m_exposed;
    return std::max(free, 0.0) / Seconds(SpendingTime).count();
}

double RolloutPlan::arrivingPerSecond() const
{
    double sum = 0;
    for (const auto &[name, rate] : m_rates)
        sum += rate.perSecond;
    return sum;
}

double RolloutPlan::growingShare() const
{
    const double spendable = spendablePerSecond(UsedWhileGrowing, UsedWhileGrowing);
    return std::min(GrowingShare, spendable / std::max(arrivingPerSecond(), 1.0));
}

void RolloutPlan::setTrialShares(RolloutStage &stage) const
{
    // Every route gets the same number of trials, because a fault may show on one route only, also
    // on one with few requests. What a route can't use is left to the others.
    std::vector<std::pair<double, std::string>> routes;
    for (const auto &[name, rate] : m_rates) {
        if (rate.perSecond > 0)
            routes.emplace_back(rate.perSecond, name);
    }
    std::sort(routes.begin(), routes.end());
    double spendable = spendablePerSecond(UsedShare, UsedTolerance);
    // A route without requests so far.
    stage.defaultShare = std::min(m_limit.share * UsedShare, spendable);
    auto left = static_cast<double>(routes.size());
    for (const auto &[perSecond, name] : routes) {
        const double trials = std::min(spendable / left, MaxTrialShare * perSecond);
        stage.shares[name] = trials / perSecond;
        spendable -= trials;
        --left;
    }
}

std::uint32_t RolloutPlan::trialServers(const RolloutState &state) const
{
    const double all = arrivingPerSecond();
    const double share = all > 0 ? m_sentPerSecond / all : m_limit.share;
    return static_cast<std::uint32_t>(
        std::max(1.0, std::ceil(share * state.oldServers / TrialLoad)));
}

RolloutStage RolloutPlan::update(const RolloutCounts &counts, const RolloutState &state)
{
    count(counts, state.now);
    m_judge.update(counts, state.now);
    advance(state);
    RolloutStage stage;
    stage.service = m_order.service;
    stage.version = m_order.version;
    stage.order = m_order.id;
    stage.number = ++m_number;
    stage.step = issuedStep();
    m_sentPerSecond = 0;
    if (stage.step == RolloutStep::Trial)
        setTrialShares(stage);
    else if (stage.step == RolloutStep::Growing)
        stage.defaultShare = growingShare();
    for (const auto &[name, rate] : m_rates)
        m_sentPerSecond += stage.shareOf(name) * rate.perSecond;
    if (stage.step == RolloutStep::Trial)
        stage.servers = trialServers(state);
    return stage;
}

RolloutRecord RolloutPlan::record() const
{
    const Seconds untilNextWrite = StoreInterval + SpendingTime;
    RolloutRecord record;
    record.order = m_order.id;
    record.version = m_order.version;
    record.step = m_step;
    record.number = m_number;
    record.seenAt = m_seenAt;
    record.arrived = m_arrived;
    record.doubt = m_judge.doubt();
    record.exposed = m_exposed + m_sentPerSecond * untilNextWrite.count();
    return record;
}

bool RolloutPlan::shouldStore(SteadyTime now) const
{
    const bool counts = m_step == RolloutStep::Trial || m_step == RolloutStep::Growing;
    const bool inDoubt = m_judge.doubt() > m_storedDoubt + StoredDoubtStep;
    return mustStore() || (counts && (inDoubt || now - m_storedAt >= StoreInterval));
}

void RolloutPlan::stored(const RolloutRecord &record, SteadyTime now)
{
    m_everStored = true;
    m_storedAt = now;
    m_storedDoubt = record.doubt;
    if (m_storedStep != record.step || m_stepNumber == 0)
        m_stepNumber = m_number + 1;
    m_storedStep = record.step;
}

} // namespace snipestall::serving
