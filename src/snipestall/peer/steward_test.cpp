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

/// Tests the lease rules with a table that is called step by step.
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

    /// Runs one complete round. False if there was nothing to write.
    bool round(StewardLease &lease)
    {
        observe(lease);
        const auto transaction = lease.nextWrite(m_clock.steadyNow());
        if (transaction)
            lease.writeCompleted(m_table.apply(*transaction));
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

TEST_F(StewardLeaseTest, OnlyOneTakesTheLeaseAndOrdersAfterTheLongestOrder)
{
    StewardLease one = lease("one");
    StewardLease two = lease("two");
    EXPECT_TRUE(round(one));
    ASSERT_FALSE(round(two));
    EXPECT_FALSE(mayOrder(one));
    m_clock.advance(m_options.maxOrderDelay);
    EXPECT_EQ(mayOrder(one), 1U);
    EXPECT_FALSE(mayOrder(two));
}

// The steward is suspended past its lease between two orders, and another instance has taken the
// lease and sends orders. When the first resumes, it must not start a second replacement for the
// same lost instance. The monotonic clock shows that its lease has ended.
TEST_F(StewardLeaseTest, AHolderSuspendedPastItsLeaseGivesNoOrder)
{
    StewardLease frozen = lease("frozen");
    StewardLease next = lease("next");
    round(frozen);
    m_clock.advance(m_options.maxOrderDelay);
    ASSERT_EQ(mayOrder(frozen), 1U);
    round(next);
    m_clock.advance(m_options.term);
    round(next);
    m_clock.advance(m_options.maxOrderDelay);
    EXPECT_EQ(mayOrder(next), 2U);
    EXPECT_FALSE(mayOrder(frozen));
    // After it has resumed, it reads the new holder from the row and does not renew the lease.
    round(frozen);
    EXPECT_FALSE(mayOrder(frozen));
    EXPECT_EQ(mayOrder(next), 2U);
}

// Two instances must never be allowed to order at the same time, and the old holder's last order
// must have arrived before the new holder's first. The old holder stops renewing without a release,
// and time advances in small steps.
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
    EXPECT_GE(firstNext - lastOld, m_options.safetyMargin + m_options.maxOrderDelay);
}

// The answer to a renewal is delayed. If the lease counted from the answer and not from before the
// renewal was sent, the holder could send orders while a candidate, which counts from the row's
// write, already does.
TEST_F(StewardLeaseTest, TheLeaseCountsFromBeforeTheRenewalWasSent)
{
    StewardLease slow = lease("slow");
    observe(slow);
    const auto transaction = slow.nextWrite(m_clock.steadyNow());
    const auto outcome = m_table.apply(*transaction);
    m_clock.advance(m_options.term - m_options.safetyMargin);
    slow.writeCompleted(outcome);
    EXPECT_FALSE(mayOrder(slow));
}

// The answer to the write that took the lease is lost. The holder must see from the row that it has
// the lease, count it from when that write was sent, and not take it a second time.
TEST_F(StewardLeaseTest, ALostAnswerIsSettledByReadingTheRow)
{
    StewardLease one = lease("one");
    observe(one);
    m_table.apply(*one.nextWrite(m_clock.steadyNow()));
    one.writeCompleted(fail(ErrorKind::OutcomeUnknown, "lost"));
    EXPECT_FALSE(mayOrder(one));
    m_clock.advance(m_options.renewInterval);
    observe(one);
    EXPECT_EQ(mayOrder(one), 1U);
    EXPECT_FALSE(one.held(SteadyTime() + m_options.term));
}

TEST_F(StewardLeaseTest, TheFencingTokenIncreasesWithEachHolderAndNotWithRenewals)
{
    StewardLease one = lease("one");
    for (int i = 0; i < 3; ++i) {
        round(one);
        m_clock.advance(m_options.renewInterval);
    }
    EXPECT_EQ(mayOrder(one), 1U);
    StewardLease two = lease("two");
    round(two);
    observe(one);
    m_table.apply(*one.release());
    round(two);
    EXPECT_EQ(two.fencingToken(), 2U);
}

// A row that was edited by hand can't be decoded. Treating it as absent would start the fencing
// tokens again at 1, and engines that check them would refuse every order.
TEST_F(StewardLeaseTest, ADamagedRowIsNeverTakenOver)
{
    m_table.apply({ {}, { { { "stewards", "samsun-hall" }, "no json" } } });
    StewardLease one = lease("one");
    EXPECT_FALSE(round(one));
    m_clock.advance(1h);
    EXPECT_FALSE(round(one));
}

/// Tests the loop that applies the lease rules.
class StewardTest : public testing::Test
{
protected:
    std::unique_ptr<Steward> steward(const std::string &instance)
    {
        StewardOptions options;
        options.renewInterval = 1ms;
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
        runUntilIdle(m_io);
    }

    boost::asio::io_context m_io;
    ManualClock m_clock;
    FakeTableService m_table { m_io };
};

// The platform is down for longer than the lease. No instance may order then. When the platform is
// available again, the same holder continues with its fencing token, because no other instance has
// taken the lease in between.
TEST_F(StewardTest, AnOutageOfTheTableSuspendsTheSteward)
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

TEST_F(StewardTest, AStoppedHolderReleasesTheLeaseBeforeTheTermEnds)
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

// The table answers a renewal only after the lease has ended. The late answer must not extend the
// lease beyond the term counted from when the renewal was sent.
TEST_F(StewardTest, ASlowTableDoesNotExtendTheLease)
{
    const auto one = steward("one");
    one->start();
    runReads(2);
    m_table.pauseAnswers();
    runReads(1);
    m_clock.advance(20s);
    EXPECT_FALSE(one->mayOrder());
    m_table.beforeCall = [this] { m_table.down = true; };
    m_table.resumeAnswers();
    runReads(1);
    EXPECT_FALSE(one->mayOrder());
    stop(*one);
}

} // namespace
} // namespace snipestall::peer
