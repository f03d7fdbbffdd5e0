#include "bench/baselines/baseline.hpp"
#include "bench/baselines/least_reported_load.hpp"

#include "policy/harness/callers.hpp"
#include "policy/harness/cluster.hpp"
#include "policy/harness/fairness.hpp"

#include <gtest/gtest.h>

namespace snipestall::policy::harness {
namespace {

using namespace std::chrono_literals;

ClusterOptions leastLoadOptions(std::uint64_t seed)
{
    ClusterOptions options;
    options.factory = [](const std::string &, std::uint64_t) {
        return baselines::Baseline::create(std::make_unique<baselines::LeastReportedLoad>());
    };
    options.eventRecipients = EventRecipients::AllInstances;
    options.seed = seed;
    return options;
}

Ledger runAt(double level, std::uint64_t seed)
{
    Cluster cluster(*makeDeployment("karadeniz"), leastLoadOptions(seed));
    Callers callers(cluster, seed);
    Load load;
    load.level = level;
    callers.setLoad(load);
    cluster.run(Time { 30s });
    load.level = load.plainLevel = 0;
    callers.setLoad(load);
    cluster.run(Time { 180s });
    return std::move(cluster.ledger());
}

TEST(Harness, AnswersEveryCallAtLowLoad)
{
    const auto ledger = runAt(0.3, 7);
    for (const auto &[urgency, tally] : ledger.byUrgency({})) {
        EXPECT_GT(tally.calls, 10U) << urgency;
        EXPECT_EQ(tally.answered, tally.calls) << urgency;
        EXPECT_GT(tally.shareInTarget(), 0.99) << urgency;
    }
    EXPECT_EQ(ledger.unsafeRetries, 0U);
    EXPECT_EQ(ledger.answersToClosedCalls, 0U);
}

TEST(Harness, IsOverloadedAboveItsNominalCapacity)
{
    const auto below = runAt(0.5, 7).byUrgency({});
    const auto above = runAt(1.5, 7).byUrgency({});
    EXPECT_GT(below.at("urgent").shareInTarget(), 0.9);
    EXPECT_LT(above.at("urgent").shareInTarget(), 0.7);
}

TEST(Harness, GivesTheSameLedgerForTheSameSeed)
{
    const auto first = runAt(0.8, 3);
    const auto second = runAt(0.8, 3);
    ASSERT_EQ(first.calls.size(), second.calls.size());
    for (std::size_t i = 0; i < first.calls.size(); ++i) {
        ASSERT_EQ(first.calls[i].finished, second.calls[i].finished);
        ASSERT_EQ(first.calls[i].firstToken, second.calls[i].firstToken);
    }
}

TEST(Fairness, IsOneWhenTokensFollowWeights)
{
    const std::vector<CustomerShare> customers { { "a", 3, 0 }, { "b", 1, 0 }, { "c", 1, 0 } };
    std::map<std::string, Tally> tallies;
    tallies["a"] = { .tokensAsked = 9000, .tokensAnswered = 6000 };
    tallies["b"] = { .tokensAsked = 9000, .tokensAnswered = 2000 };
    tallies["c"] = { .tokensAsked = 1000, .tokensAnswered = 1000 };
    EXPECT_NEAR(fairness(tallies, customers), 1.0, 0.01);
    tallies["b"].tokensAnswered = 1000;
    EXPECT_LT(fairness(tallies, customers), 0.6);
}

} // namespace
} // namespace snipestall::policy::harness
