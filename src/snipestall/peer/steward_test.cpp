#include "snipestall/peer/steward.hpp"

#include "snipestall/base/manual_clock.hpp"
#include "snipestall/peer/steward_lease.hpp"
#include "snipestall/platform/fake_table_service.hpp"
#include "snipestall/platform/run_task.hpp"

#include <gtest/gtest.h>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;
using namespace snipestall::platform;

/// The rules alone, over a table that is called step by step.
class StewardLeaseTest : public testing::Test
{
protected:
    static StewardLease lease(const std::string &instance)
    {
        return { "samsun-hall", instance, 1, StewardOptions(), instance };
    }

    const Row *row()
    {
        const auto found = m_table.rows.find({ "stewards", "samsun-hall" });
        return found == m_table.rows.end() ? nullptr : &found->second;
    }

    void observe(StewardLease &lease) { lease.observe(row(), m_clock.steadyNow()); }

    /// One whole round; false if there was nothing to write.
    bool round(StewardLease &lease)
    {
        observe(lease);
        const auto transaction = lease.nextWrite(m_clock.steadyNow());
        if (transaction)
            lease.written(m_table.apply(*transaction));
        return transaction.has_value();
    }

    std::optional<std::uint64_t> mayOrder(const StewardLease &lease)
    {
        return lease.mayOrder(m_clock.steadyNow());
    }

    boost::asio::io_context m_io;
    ManualClock m_clock;
    FakeTableService m_table { m_io };
    StewardOptions m_options;
};

TEST_F(StewardLeaseTest, OneOfTwoTakesItAndOrdersAfterTheLongestOrder)
{
    StewardLease one = lease("one");
    StewardLease two = lease("two");
    EXPECT_TRUE(round(one));
    ASSERT_FALSE(round(two));
    EXPECT_FALSE(mayOrder(one));
    m_clock.advance(m_options.longestOrder);
    EXPECT_EQ(mayOrder(one), 1U);
    EXPECT_FALSE(mayOrder(two));
}

// The steward is paused for a minute between two orders. Another instance has taken the lease and
// gives orders. Woken, the first would start a second replacement for the same lost instance; the
// monotonic clock shows it that its lease is over.
TEST_F(StewardLeaseTest, AHolderFrozenPastItsLeaseGivesNoOrder)
{
    StewardLease frozen = lease("frozen");
    StewardLease next = lease("next");
    round(frozen);
    m_clock.advance(m_options.longestOrder);
    ASSERT_EQ(mayOrder(frozen), 1U);
    round(next);
    m_clock.advance(m_options.term);
    round(next);
    m_clock.advance(m_options.longestOrder);
    EXPECT_EQ(mayOrder(next), 2U);
    EXPECT_FALSE(mayOrder(frozen));
    // Awake again it learns from the row that it has been succeeded, and its renewal is refused.
    round(frozen);
    EXPECT_FALSE(mayOrder(frozen));
    EXPECT_EQ(mayOrder(next), 2U);
}

// At no moment may two instances hold a number that lets them order: the old holder's last order
// must be out of the network before the new holder's first. Time goes on in small steps while the
// holder has silently died.
TEST_F(StewardLeaseTest, TheNewHoldersFirstOrderComesAfterTheOldOnesLast)
{
    StewardLease old = lease("old");
    StewardLease next = lease("next");
    round(old);
    SteadyTime lastOld;
    SteadyTime firstNext;
    while (firstNext == SteadyTime()) {
        if (mayOrder(old))
            lastOld = m_clock.steadyNow();
        round(next);
        if (mayOrder(next))
            firstNext = m_clock.steadyNow();
        m_clock.advance(100ms);
    }
    EXPECT_GT(lastOld, SteadyTime());
    EXPECT_GE(firstNext - lastOld, m_options.safetyMargin + m_options.longestOrder);
}

// A renewal takes long to reach the table. Counting the lease from its answer instead of from
// before it was sent would let the holder order while a candidate, counting from the row's write,
// already does.
TEST_F(StewardLeaseTest, TheLeaseCountsFromBeforeTheRenewalWasSent)
{
    StewardLease slow = lease("slow");
    observe(slow);
    const auto transaction = slow.nextWrite(m_clock.steadyNow());
    const auto outcome = m_table.apply(*transaction);
    m_clock.advance(m_options.term - m_options.safetyMargin);
    slow.written(outcome);
    EXPECT_FALSE(mayOrder(slow));
}

// The answer to the write that took the lease is lost. The holder must learn from the row that it
// has it, counted from when that write was sent, and not take it a second time.
TEST_F(StewardLeaseTest, ALostAnswerIsSettledByReadingTheRow)
{
    StewardLease one = lease("one");
    observe(one);
    m_table.apply(*one.nextWrite(m_clock.steadyNow()));
    one.written(fail(ErrorKind::OutcomeUnknown, "lost"));
    EXPECT_FALSE(mayOrder(one));
    m_clock.advance(m_options.renewEvery);
    observe(one);
    EXPECT_EQ(mayOrder(one), 1U);
    EXPECT_FALSE(one.held(SteadyTime() + m_options.term));
}

TEST_F(StewardLeaseTest, TheFencingNumberGrowsWithEachHolderAndNotWithRenewals)
{
    StewardLease one = lease("one");
    for (int i = 0; i < 3; ++i) {
        round(one);
        m_clock.advance(m_options.renewEvery);
    }
    EXPECT_EQ(mayOrder(one), 1U);
    StewardLease two = lease("two");
    round(two);
    observe(one);
    m_table.apply(*one.release());
    round(two);
    EXPECT_EQ(two.fencing(), 2U);
}

// A hand-mended row is not readable. Taking it as absent would start the fencing numbers again at
// 1, and engines that check them would refuse every order.
TEST_F(StewardLeaseTest, ADamagedRowIsNeverTakenOver)
{
    m_table.apply({ {}, { { { "stewards", "samsun-hall" }, "no json" } } });
    StewardLease one = lease("one");
    EXPECT_FALSE(round(one));
    m_clock.advance(1h);
    EXPECT_FALSE(round(one));
}

/// The loop around the rules.
class StewardTest : public testing::Test
{
protected:
    std::unique_ptr<Steward> steward(const std::string &instance)
    {
        StewardOptions options;
        options.renewEvery = 1ms;
        return Steward::create(m_io, m_table, m_clock, "samsun-hall", instance, 1, options);
    }

    void runReads(int count)
    {
        const int until = m_table.reads + count;
        runUntil(m_io, [&] { return m_table.reads >= until; });
    }

    void stop(Steward &steward)
    {
        boost::asio::co_spawn(m_io, steward.stop(), boost::asio::detached);
        drain(m_io);
    }

    boost::asio::io_context m_io;
    ManualClock m_clock;
    FakeTableService m_table { m_io };
};

// The platform goes down for longer than the lease. Nobody may order then; serving goes on. When it
// is back the same holder goes on under its number, since nobody has come in between.
TEST_F(StewardTest, WithTheTableDownThereIsNoStewardAndAfterwardsThereIs)
{
    const auto one = steward("one");
    one->start();
    runReads(2);
    m_clock.advance(2s);
    EXPECT_EQ(one->mayOrder(), 1U);
    m_table.down = true;
    m_clock.advance(10s);
    runReads(2);
    EXPECT_FALSE(one->mayOrder());
    m_table.down = false;
    runReads(2);
    EXPECT_EQ(one->mayOrder(), 1U);
    stop(*one);
}

TEST_F(StewardTest, AStoppedHolderOrdersNoMoreAndItsSuccessorNeedNotWaitForTheTerm)
{
    const auto one = steward("one");
    one->start();
    runReads(2);
    m_clock.advance(2s);
    EXPECT_TRUE(one->mayOrder());
    stop(*one);
    EXPECT_FALSE(one->mayOrder());
    const auto two = steward("two");
    two->start();
    runReads(2);
    EXPECT_FALSE(two->mayOrder());
    m_clock.advance(2s);
    EXPECT_EQ(two->mayOrder(), 2U);
    stop(*two);
}

// The table answers a renewal only after a long while, in which the lease has run out. The late
// yes must not bring the old lease back to life for longer than it counts from its sending.
TEST_F(StewardTest, ASlowTableDoesNotStretchTheLease)
{
    const auto one = steward("one");
    one->start();
    runReads(2);
    m_table.freeze();
    runReads(1);
    m_clock.advance(20s);
    EXPECT_FALSE(one->mayOrder());
    m_table.beforeCall = [this] { m_table.down = true; };
    m_table.thaw();
    runReads(1);
    EXPECT_FALSE(one->mayOrder());
    stop(*one);
}

} // namespace
} // namespace snipestall::peer
