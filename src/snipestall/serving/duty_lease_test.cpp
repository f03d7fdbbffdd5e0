#include "snipestall/serving/duty_lease.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };

/// The row in the store, with its conditional write.
class Row
{
public:
    bool write(const LeaseWrite &write)
    {
        if (write.expectedVersion != m_version)
            return false;
        m_row = write.row;
        m_version = ++m_counter;
        return true;
    }
    [[nodiscard]] const LeaseRow &row() const { return m_row; }
    [[nodiscard]] std::int64_t version() const { return m_version; }

private:
    LeaseRow m_row;
    std::int64_t m_version = 0;
    std::int64_t m_counter = 0;
};

/// One step of an instance that can reach the store.
void step(DutyLease &lease, Row &row, SteadyTime now)
{
    if (lease.isReadDue(now))
        lease.rowRead(row.row(), row.version(), now);
    else if (const auto write = lease.dueWrite(now)) {
        if (row.write(*write))
            lease.rowWritten(*write, row.version(), now);
        else
            lease.writeOutcomeUnknown();
    }
}

TEST(DutyLease, OneOfSeveralInstancesTakesTheLeaseAndRenewsIt)
{
    Row row;
    DutyLease first("a/1", 3s);
    DutyLease second("b/1", 3s);
    for (SteadyTime now = Start; now < Start + 20s; now += 100ms) {
        step(first, row, now);
        step(second, row, now);
        EXPECT_FALSE(second.holds(now));
        EXPECT_TRUE(first.holds(now) || now <= Start + 200ms);
    }
    EXPECT_EQ(row.row().fencingToken, 1);
}

// Guards against a thousand calls to the store within a few seconds: hundreds of instances start,
// or lose the holder, at the same moment, and each reads the lease and tries to write it.
TEST(DutyLease, StandbyInstancesLeaveTheLeaseToTheCandidates)
{
    Row row;
    DutyLease candidate("a/1", 3s);
    DutyLease other("b/1", 3s);
    int reads = 0;
    for (SteadyTime now = Start; now < Start + 20s; now += 100ms) {
        other.setCandidate(false, now);
        step(candidate, row, now);
        if (candidate.holds(now))
            other.holderReported(now);
        reads += other.isReadDue(now) ? 1 : 0;
        step(other, row, now);
    }
    EXPECT_EQ(reads, 0);
    EXPECT_EQ(row.row().holder, "a/1");
}

// Guards against usage that is not reported and servers that are not ordered because all candidates
// are gone.
TEST(DutyLease, AStandbyInstanceTakesTheLeaseWhenNoCandidateDoes)
{
    Row row;
    DutyLease other("b/1", 3s);
    other.setCandidate(false, Start);
    for (SteadyTime now = Start; now < Start + 8s; now += 100ms) {
        other.setCandidate(false, now);
        step(other, row, now);
        EXPECT_FALSE(other.holds(now) && now < Start + 6s);
    }
    EXPECT_TRUE(other.holds(Start + 8s));
}

// Guards against two instances that order servers alternately: the holder is suspended for longer
// than its lease, another instance takes over, and the first one continues when it resumes.
TEST(DutyLease, ASuspendedHolderDoesNotActWhenItResumes)
{
    Row row;
    DutyLease first("a/1", 3s);
    DutyLease second("b/1", 3s);
    SteadyTime now = Start;
    for (; now < Start + 2s; now += 100ms) {
        step(first, row, now);
        step(second, row, now);
    }
    SteadyTime tookOver {};
    for (; now < Start + 10s; now += 100ms) {
        step(second, row, now);
        if (second.holds(now) && tookOver == SteadyTime {})
            tookOver = now;
        EXPECT_FALSE(first.holds(now) && second.holds(now));
    }
    ASSERT_NE(tookOver, SteadyTime {});
    EXPECT_EQ(second.fencingToken(), 2);
    EXPECT_FALSE(first.holds(now));
    step(first, row, now);
    EXPECT_FALSE(first.holds(now));
}

TEST(DutyLease, TheHolderStopsBeforeItsLeaseEndsWhenItCannotRenew)
{
    Row row;
    DutyLease lease("a/1", 3s);
    step(lease, row, Start);
    step(lease, row, Start + 100ms);
    ASSERT_TRUE(lease.holds(Start + 100ms));
    lease.writeOutcomeUnknown();
    EXPECT_FALSE(lease.holds(Start + 100ms + 2s));
}

// Guards against usage that is no longer reported: the answer to the write that took the lease was
// lost, and the instance waits for a holder that is itself.
TEST(DutyLease, ALostAnswerIsSettledByReadingTheRow)
{
    Row row;
    DutyLease lease("a/1", 3s);
    step(lease, row, Start);
    const auto write = lease.dueWrite(Start + 100ms);
    ASSERT_TRUE(write);
    row.write(*write);
    lease.writeOutcomeUnknown();
    SteadyTime now = Start + 1200ms;
    for (; now < Start + 3s; now += 100ms)
        step(lease, row, now);
    EXPECT_TRUE(lease.holds(now));
    EXPECT_EQ(lease.fencingToken(), 1);
}

TEST(DutyLease, ARestartedProcessDoesNotInheritTheLease)
{
    Row row;
    DutyLease before("a/1", 3s);
    step(before, row, Start);
    step(before, row, Start + 100ms);
    DutyLease after("a/2", 3s);
    step(after, row, Start + 500ms);
    step(after, row, Start + 600ms);
    EXPECT_FALSE(after.holds(Start + 600ms));
}

TEST(DutyLease, AReleasedLeaseIsTakenAtOnceWithAHigherToken)
{
    Row row;
    DutyLease first("a/1", 3s);
    step(first, row, Start);
    step(first, row, Start + 100ms);
    const auto release = first.release();
    ASSERT_TRUE(release);
    ASSERT_TRUE(row.write(*release));
    first.rowWritten(*release, row.version(), Start + 200ms);
    EXPECT_FALSE(first.holds(Start + 200ms));
    DutyLease second("b/1", 3s);
    step(second, row, Start + 300ms);
    step(second, row, Start + 400ms);
    EXPECT_TRUE(second.holds(Start + 400ms));
    EXPECT_EQ(second.fencingToken(), 2);
}

} // namespace
} // namespace snipestall::serving
