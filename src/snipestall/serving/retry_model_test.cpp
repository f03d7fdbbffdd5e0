#include "snipestall/serving/retry_model.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <ostream>

namespace snipestall::serving {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto Service = "lm";
constexpr milliseconds ExchangeInterval { 200 };
constexpr double LostReports = 0.02;

} // namespace

// --- The model -------------------------------------------------------------------------------

RetryModel::RetryModel(Options options)
    : m_options(options)
    , m_random(options.seed)
{
    addInstances(options.instances);
}

void RetryModel::addInstances(std::size_t count)
{
    m_fleet.addInstances(count);
    const std::size_t before = m_instances.size();
    for (std::size_t i = 0; i < count; ++i)
        m_instances.push_back({ RetryAllowance(m_options.limits), {}, false });
    for (std::size_t i = before; i < m_instances.size(); ++i)
        start(i);
}

void RetryModel::start(std::size_t index)
{
    Instance &instance = m_instances[index];
    instance.allowance = RetryAllowance(m_options.limits);
    instance.nextExchange = m_now + milliseconds(m_random.below(ExchangeInterval.count()));
}

void RetryModel::handOver(Instance &from, Instance &to)
{
    for (const RetryGrant &grant : from.allowance.handOver(to.allowance.levels(m_now), m_now)) {
        if (m_random.uniform() < LostReports)
            continue;
        to.allowance.receive(grant, m_now);
    }
}

void RetryModel::exchange(std::size_t index)
{
    Instance &instance = m_instances[index];
    instance.nextExchange = m_now + ExchangeInterval;
    instance.allowance.setInstances(m_instances.size(), m_now);
    for (const std::size_t partner : m_fleet.partnersOf(index)) {
        handOver(instance, m_instances[partner]);
        handOver(m_instances[partner], instance);
    }
}

void RetryModel::serve(Instance &instance, double mean)
{
    int requests = static_cast<int>(mean);
    requests += m_random.uniform() < mean - requests ? 1 : 0;
    for (int i = 0; i < requests; ++i) {
        instance.allowance.countFirstAttempt(Service, m_now);
        ++m_firstAttempts.back();
        int attempts = 1;
        while (m_random.uniform() < m_failures) {
            m_failed += instance.counted && attempts == 1 ? 1 : 0;
            if (attempts >= m_options.attemptLimit || !instance.allowance.tryRepeat(Service, m_now))
                break;
            m_repeated += instance.counted && attempts == 1 ? 1 : 0;
            ++attempts;
            ++m_repeats.back();
        }
    }
}

void RetryModel::run(milliseconds length)
{
    for (milliseconds passed { 0 }; passed < length; passed += Tick) {
        m_now += Tick;
        m_firstAttempts.push_back(0);
        m_repeats.push_back(0);
        m_fleet.setNow(m_now);
        for (const std::size_t index : m_fleet.startDue())
            start(index);
        const double mean = m_options.requestsPerSecond
            * std::chrono::duration<double>(Tick).count() / static_cast<double>(m_fleet.running());
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (!m_fleet.isRunning(i))
                continue;
            if (m_now >= m_instances[i].nextExchange)
                exchange(i);
            serve(m_instances[i], mean);
        }
    }
}

double RetryModel::firstAttemptsIn(std::size_t endTick) const
{
    const auto ticks = static_cast<std::size_t>(m_options.limits.window / Tick);
    const std::size_t begin = endTick > ticks ? endTick - ticks : 0;
    return std::accumulate(m_firstAttempts.begin() + static_cast<std::ptrdiff_t>(begin),
                           m_firstAttempts.begin() + static_cast<std::ptrdiff_t>(endTick), 0);
}

double RetryModel::worstExcess() const
{
    const auto ticks = static_cast<std::size_t>(m_options.limits.window / Tick);
    double worst = std::numeric_limits<double>::lowest();
    int repeats = 0;
    for (std::size_t end = 1; end <= m_repeats.size(); ++end) {
        repeats += m_repeats[end - 1];
        if (end > ticks)
            repeats -= m_repeats[end - 1 - ticks];
        const double firstAttempts =
            std::max({ firstAttemptsIn(end), firstAttemptsIn(end > ticks ? end - ticks : 0),
                       firstAttemptsIn(end > ticks / 2 ? end - ticks / 2 : 0) });
        const double allowed = m_options.limits.ratio * firstAttempts + m_options.limits.slack;
        worst = std::max(worst, repeats - allowed);
    }
    return worst;
}

void RetryModel::countRequestsOf(const std::vector<std::size_t> &indices)
{
    for (const std::size_t index : indices)
        m_instances[index].counted = true;
    m_failed = 0;
    m_repeated = 0;
}

namespace {

/// A fleet size with the fixed allowance and the load of a deployment of that size.
struct FleetSize
{
    std::size_t instances;
    double slack;
    double requestsPerSecond;
};

std::ostream &operator<<(std::ostream &out, const FleetSize &size)
{
    return out << size.instances;
}

/// Indices of a random part of the instances.
std::vector<std::size_t> someOf(const RetryModel &fleet, double share, Random &random)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (random.uniform() < share)
            indices.push_back(i);
    }
    return indices;
}

std::vector<std::size_t> everyNth(const RetryModel &fleet, std::size_t n)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < fleet.size(); i += n)
        indices.push_back(i);
    return indices;
}

class RetryFleet : public testing::TestWithParam<FleetSize>
{
protected:
    static RetryModel fleetWith(std::uint64_t seed)
    {
        const FleetSize &size = GetParam();
        return RetryModel(
            { size.instances, { 10s, 0.2, size.slack }, size.requestsPerSecond, 3, seed });
    }
};

/// Fleets in which a process that starts finds others.
class RetryFleetOfMany : public RetryFleet
{ };

// Guards against a multiple of the allowed repeats when all instances are killed in series while a
// service refuses most attempts: each process that starts spends its part of the fixed allowance
// anew.
TEST_P(RetryFleet, KillsOfAllInSeriesStayWithinTheLimit)
{
    Random random(1);
    RetryModel fleet = fleetWith(1);
    fleet.run(12s);
    fleet.setFailures(0.9);
    fleet.run(2s);
    for (int i = 0; i < 6; ++i) {
        fleet.disturb().kill(someOf(fleet, 1, random), 200ms);
        fleet.run(1500ms);
    }
    fleet.run(10s);
    EXPECT_LE(fleet.worstExcess(), 0);
}

// Guards against a multiple of the allowed repeats when a random half of the instances is killed
// again and again, so that some of the processes have always just started.
TEST_P(RetryFleet, KillsOfHalfInSeriesStayWithinTheLimit)
{
    Random random(2);
    RetryModel fleet = fleetWith(2);
    fleet.run(12s);
    fleet.setFailures(0.9);
    for (int i = 0; i < 16; ++i) {
        fleet.disturb().kill(someOf(fleet, 0.5, random), 200ms);
        fleet.run(700ms);
    }
    fleet.run(10s);
    EXPECT_LE(fleet.worstExcess(), 0);
}

// Guards against instances on both sides of a long partition that each divide the fixed allowance
// by the number of instances on their own side.
TEST_P(RetryFleet, BothSidesOfALongPartitionStayWithinTheLimit)
{
    Random random(3);
    RetryModel fleet = fleetWith(3);
    fleet.run(5s);
    fleet.setRequestsPerSecond(GetParam().requestsPerSecond / 5);
    fleet.disturb().cutOff(someOf(fleet, 0.5, random), 40s);
    fleet.run(20s);
    fleet.setFailures(1);
    fleet.run(15s);
    EXPECT_LE(fleet.worstExcess(), 0);
}

// Guards against more repeats than allowed in any order of kills, suspensions, partitions, new
// instances, changes of load and failing servers.
TEST_P(RetryFleet, AnySeriesOfDisturbancesStaysWithinTheLimit)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        RetryModel fleet = fleetWith(seed);
        fleet.run(milliseconds(random.below(12000)));
        for (int i = 0; i < 20; ++i) {
            const double share = 1.25 * random.uniform();
            const milliseconds length(200 + random.below(4000));
            switch (random.below(8)) {
            case 0:
            case 1:
            case 2:
                fleet.disturb().kill(someOf(fleet, share, random), length / 4);
                break;
            case 3:
                fleet.disturb().freeze(someOf(fleet, share / 2, random), length);
                break;
            case 4:
                fleet.disturb().cutOff(someOf(fleet, share, random), 5 * length);
                break;
            case 5:
                fleet.addInstances(random.below(1 + fleet.size() / 10));
                break;
            case 6:
                fleet.setRequestsPerSecond(GetParam().requestsPerSecond * 2 * random.uniform());
                break;
            default:
                fleet.setFailures(random.uniform() < 0.3 ? 0 : random.uniform());
            }
            fleet.run(milliseconds(random.below(2500)));
        }
        EXPECT_LE(fleet.worstExcess(), 0) << "seed " << seed;
    }
}

// Guards against callers that get no second attempt because their instance has just started, while
// the fleet has credits to spare.
TEST_P(RetryFleetOfMany, InstancesThatHaveJustStartedRepeatWithCreditsOfOthers)
{
    RetryModel fleet = fleetWith(4);
    fleet.run(20s);
    const std::vector<std::size_t> restarted = everyNth(fleet, 8);
    fleet.disturb().kill(restarted, 200ms);
    fleet.run(800ms);
    fleet.countRequestsOf(restarted);
    fleet.setFailures(0.5);
    fleet.run(300ms);
    EXPECT_GT(fleet.failed(), 0);
    EXPECT_GE(fleet.repeated(), 0.9 * fleet.failed());
}

// Guards against callers that get no second attempt in a short failure although nothing was
// repeated before it.
TEST_P(RetryFleet, AShortFailureIsRepeatedWhole)
{
    RetryModel fleet = fleetWith(5);
    fleet.run(20s);
    fleet.countRequestsOf(everyNth(fleet, 1));
    fleet.setFailures(0.3);
    fleet.run(1s);
    EXPECT_GT(fleet.failed(), 0);
    EXPECT_GE(fleet.repeated(), 0.95 * fleet.failed());
}

constexpr FleetSize One { 1, 52, 75 };
constexpr FleetSize Six { 6, 52, 75 };
constexpr FleetSize Sixty { 60, 160, 300 };
constexpr FleetSize ThreeHundred { 300, 630, 1200 };

INSTANTIATE_TEST_SUITE_P(Sizes, RetryFleet, testing::Values(One, Six, Sixty, ThreeHundred));
INSTANTIATE_TEST_SUITE_P(Sizes, RetryFleetOfMany, testing::Values(Six, Sixty, ThreeHundred));

} // namespace
} // namespace snipestall::serving
