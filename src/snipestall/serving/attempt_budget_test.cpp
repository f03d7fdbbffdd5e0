#include "snipestall/serving/attempt_budget.hpp"

#include "snipestall/base/random.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

namespace snipestall::serving {
namespace {

/// Serves one request on a number of instances, each of which may forward it, run it, have it
/// rejected, lose its answer or end. Counts the runs at the servers.
class ServedRequest
{
public:
    ServedRequest(int attemptLimit, int instances, std::uint64_t seed)
        : m_attemptLimit(attemptLimit)
        , m_instances(instances)
        , m_random(seed)
    { }

    int runs() const { return m_runs; }
    int sends() const { return m_sends; }

    void serve()
    {
        AttemptBudget budget(m_attemptLimit);
        int forwards = 0;
        do {
            if (forwards + 1 < m_instances && m_random.below(2) == 0) {
                ++forwards;
                forward(budget);
            } else {
                send(budget);
            }
        } while (!budget.exhausted());
    }

private:
    void send(AttemptBudget &budget)
    {
        ++m_sends;
        budget.sent();
        if (m_random.below(4) == 0)
            return;
        ++m_runs;
        budget.ran();
    }

    void forward(AttemptBudget &budget)
    {
        const AttemptCounts granted = budget.grant();
        AttemptBudget other(m_attemptLimit);
        other.restrictTo(granted);
        // The other instance ends the request at some point, or itself ends.
        while (!other.exhausted() && m_random.below(4) != 0)
            send(other);
        const bool answerLost = m_random.below(3) == 0;
        budget.usedElsewhere(answerLost ? granted : other.used());
        // An instance that never got the request is asked once.
        if (!answerLost && other.used().sends == 0)
            budget.sent();
    }

    int m_attemptLimit;
    int m_instances;
    Random m_random;
    int m_runs = 0;
    int m_sends = 0;
};

// Guards against a request that runs more often than its route allows because each instance that
// serves it counts its own runs only.
TEST(AttemptBudget, HoldsOverAllInstancesWhateverIsLost)
{
    for (const int instances : { 1, 9, 60, 300 }) {
        for (const int limit : { 1, 2, 3, 5 }) {
            for (std::uint64_t seed = 1; seed <= 200; ++seed) {
                ServedRequest request(limit, instances, seed);
                request.serve();
                EXPECT_LE(request.runs(), limit) << instances << " instances, seed " << seed;
                EXPECT_LE(request.sends(), limit + 3) << instances << " instances, seed " << seed;
            }
        }
    }
}

TEST(AttemptBudget, GrantsWhatIsLeft)
{
    AttemptBudget budget(2);
    EXPECT_EQ(budget.grant(), (AttemptCounts { 2, 5 }));
    budget.sent();
    budget.ran();
    EXPECT_EQ(budget.grant(), (AttemptCounts { 1, 4 }));
    budget.usedElsewhere({ 1, 2 });
    EXPECT_EQ(budget.grant(), (AttemptCounts { 0, 2 }));
    EXPECT_TRUE(budget.exhausted());
}

TEST(AttemptBudget, AGrantNeverExceedsTheOwnRoutesLimit)
{
    AttemptBudget budget(2);
    budget.restrictTo({ std::numeric_limits<int>::max(), std::numeric_limits<int>::max() });
    EXPECT_EQ(budget.grant(), (AttemptCounts { 2, 5 }));
    budget.restrictTo({ 1, 1 });
    EXPECT_EQ(budget.grant(), (AttemptCounts { 1, 1 }));
    budget.restrictTo({ -1, 1 });
    EXPECT_TRUE(budget.exhausted());
}

TEST(AttemptBudget, WhatAnotherInstanceStatesGivesNothingBack)
{
    AttemptBudget budget(2);
    budget.usedElsewhere({ -5, -5 });
    EXPECT_EQ(budget.grant(), (AttemptCounts { 2, 5 }));
    budget.usedElsewhere({ std::numeric_limits<int>::max(), std::numeric_limits<int>::max() });
    EXPECT_TRUE(budget.exhausted());
    EXPECT_EQ(budget.used(), (AttemptCounts { 2, 5 }));
}

// A route that allows no attempt at all would refuse everything.
TEST(AttemptBudget, AllowsAtLeastOneRun)
{
    EXPECT_FALSE(AttemptBudget(0).exhausted());
    EXPECT_FALSE(AttemptBudget(-1).exhausted());
}

} // namespace
} // namespace snipestall::serving
