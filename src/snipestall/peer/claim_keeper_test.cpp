#include "snipestall/peer/claim_keeper.hpp"

#include "snipestall/base/manual_clock.hpp"
#include "snipestall/peer/claim_row.hpp"
#include "snipestall/platform/fake_table_service.hpp"
#include "snipestall/platform/run_task.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;
using namespace snipestall::platform;

class ClaimKeeperTest : public testing::Test
{
protected:
    std::unique_ptr<ClaimKeeper> keeper(const std::string &instance)
    {
        ClaimOptions chosen;
        chosen.batchWindow = 0ms;
        chosen.updateWindow = 0ms;
        chosen.writesPerSecond = 0;
        chosen.initialBackoff = 1ms;
        chosen.maxBackoff = 1ms;
        return ClaimKeeper::create(m_io, m_table, m_clock, instance, chosen);
    }

    static ClaimKey keyOf(const std::string &key) { return { "kiyi", "ledger", key }; }

    [[nodiscard]] ClaimRequest request(const std::string &key, const std::string &attempt,
                                       std::chrono::milliseconds left = 10min) const
    {
        return { keyOf(key), "request-of-" + attempt, attempt, "body", m_clock.steadyNow() + left };
    }

    TaskResult<ClaimOutcome> start(ClaimKeeper &keeper, ClaimRequest asked)
    {
        return startTask(m_io, keeper.claim(std::move(asked)));
    }

    ClaimOutcome claim(ClaimKeeper &keeper, ClaimRequest asked)
    {
        return runTask(m_io, keeper.claim(std::move(asked)));
    }

    std::optional<ClaimOutcome> lookup(ClaimKeeper &keeper, const std::string &key)
    {
        return runTask(m_io, keeper.lookup(keyOf(key))).value();
    }

    void removeExpired(ClaimKeeper &keeper)
    {
        boost::asio::co_spawn(m_io, keeper.removeExpired(), boost::asio::detached);
        runUntilIdle(m_io);
    }

    ClaimRow rowOf(const std::string &key)
    {
        return decodeClaim(m_table.rows.at(claimRowKey(keyOf(key)))).value();
    }

    boost::asio::io_context m_io;
    ManualClock m_clock;
    FakeTableService m_table { m_io };
};

TEST_F(ClaimKeeperTest, ARepeatFindsTheHolderAndThenItsOutcome)
{
    const auto first = keeper("samsun-1");
    const auto second = keeper("trabzon-1");
    EXPECT_EQ(claim(*first, request("k", "a1")).verdict, ClaimVerdict::Granted);

    const ClaimOutcome held = claim(*second, request("k", "a2"));
    EXPECT_EQ(held.verdict, ClaimVerdict::Held);
    EXPECT_EQ(held.holderAttempt, "a1");
    EXPECT_FALSE(held.outcome.has_value());

    const std::string bytes("\xff\x00receipt", 9);
    first->storeOutcome(keyOf("k"), "a1", { 200, "text/plain", bytes, "completed" });
    runUntilIdle(m_io);
    const auto known = lookup(*second, "k");
    ASSERT_TRUE(known.has_value() && known->outcome.has_value());
    EXPECT_EQ(known->outcome->body, bytes);
    EXPECT_EQ(known->outcome->outcome, "completed");
    EXPECT_FALSE(lookup(*second, "another").has_value());
}

// The claim's write takes effect, but the table's answer is lost. Treating that as a failure would
// refuse a request whose key is now taken. Treating it as a success without a read could execute
// the request twice. The row that is read back identifies the claimer.
TEST_F(ClaimKeeperTest, ALostAnswerIsSettledByReadingTheRow)
{
    const auto first = keeper("samsun-1");
    m_table.answersToLose = 1;
    EXPECT_EQ(claim(*first, request("k", "a1")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(first->counters().settledByReading, 1U);
    EXPECT_EQ(first->counters().transactions, 1U);
    EXPECT_EQ(claim(*keeper("ordu-1"), request("k", "a2")).verdict, ClaimVerdict::Held);
}

// The claim's write itself is lost before it takes effect. The row is absent, so the write must be
// made again.
TEST_F(ClaimKeeperTest, AClaimLostBeforeTheWriteIsWrittenAgain)
{
    const auto first = keeper("samsun-1");
    m_table.requestsToLose = 1;
    EXPECT_EQ(claim(*first, request("k", "a1")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(first->counters().transactions, 2U);
}

// A caller sends the same request to two data centres at the same time, and both would execute it.
// The table accepts one insert, and the other claim must return the holder of the key.
TEST_F(ClaimKeeperTest, OnlyOneOfTwoConcurrentClaimsIsGranted)
{
    const auto samsun = keeper("samsun-1");
    const auto sinop = keeper("sinop-1");
    const auto one = start(*samsun, request("k", "a1"));
    const auto two = start(*sinop, request("k", "a2"));
    runUntilIdle(m_io);
    EXPECT_EQ((*one)->verdict, ClaimVerdict::Granted);
    EXPECT_EQ((*two)->verdict, ClaimVerdict::Held);
    EXPECT_EQ((*two)->holderAttempt, "a1");
}

// A repeat reaches the same instance before the first claim is written. In one transaction both
// claims would find the row absent, the second write would replace the first, and both would be
// granted.
TEST_F(ClaimKeeperTest, OnlyOneOfTwoClaimsOfAKeyInABatchIsGranted)
{
    const auto samsun = keeper("samsun-1");
    const auto one = start(*samsun, request("k", "a1"));
    const auto two = start(*samsun, request("k", "a2"));
    runUntilIdle(m_io);
    EXPECT_EQ((*one)->verdict, ClaimVerdict::Granted);
    EXPECT_EQ((*two)->verdict, ClaimVerdict::Held);
    EXPECT_EQ(samsun->counters().transactions, 1U);
}

// An instance is suspended just after its claim was written. Its caller is refused as not run when
// the deadline passes and sends the key to another instance. When the suspended instance resumes,
// it receives the grant. Acting on it would execute a request whose caller was told that it did not
// run.
TEST_F(ClaimKeeperTest, AClaimerSuspendedPastItsDeadlineIsNotGranted)
{
    const auto frozen = keeper("samsun-1");
    m_table.pauseAnswers();
    const auto outcome = start(*frozen, request("k", "a1", 1s));
    runUntil(m_io, [&] { return m_table.transactions == 1; });
    m_clock.advance(5s);
    m_table.resumeAnswers();
    runUntilIdle(m_io);
    EXPECT_EQ((*outcome)->verdict, ClaimVerdict::Unsettled);
    EXPECT_EQ(rowOf("k").state, ClaimState::Abandoned);
    EXPECT_EQ(frozen->counters().abandoned, 1U);
    EXPECT_FALSE(lookup(*frozen, "k").has_value());
    EXPECT_EQ(claim(*keeper("sinop-1"), request("k", "a2")).verdict, ClaimVerdict::Granted);
}

// The table accepts the claim but answers only after the caller has been refused. The request will
// not be sent, so the row must not hold the key.
TEST_F(ClaimKeeperTest, AGrantAfterTheCallerWasRefusedIsAbandoned)
{
    const auto samsun = keeper("samsun-1");
    m_table.pauseAnswers();
    const auto outcome = start(*samsun, request("k", "a1", 3ms));
    runUntil(m_io, [&] { return outcome->has_value(); });
    EXPECT_EQ((*outcome)->verdict, ClaimVerdict::Unsettled);
    m_table.resumeAnswers();
    runUntilIdle(m_io);
    EXPECT_EQ(rowOf("k").state, ClaimState::Abandoned);
}

// A claim's write is delayed by the network and reaches the table only after the caller was
// refused. Its row would block the key for a day without a holder. The abandoned row that was
// inserted before makes the condition of the late write fail.
TEST_F(ClaimKeeperTest, ALateWriteOfAnAbandonedClaimHasNoEffect)
{
    const auto slow = keeper("samsun-1");
    m_table.requestsToHold = 1;
    m_table.beforeCall = [this] {
        if (m_table.reads == 1)
            m_clock.advance(2s);
    };
    const auto outcome = start(*slow, request("k", "a1", 1s));
    runUntilIdle(m_io);
    m_table.applyHeldRequests();
    EXPECT_EQ((*outcome)->verdict, ClaimVerdict::Unsettled);
    EXPECT_EQ(rowOf("k").state, ClaimState::Abandoned);
    EXPECT_EQ(claim(*keeper("sinop-1"), request("k", "a2")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(rowOf("k").attempt, "a2");
}

// An attempt is claimed again by the same instance, and by a buddy that took its request over under
// the same id. The row contains the attempt. If that identified the claim's own write, each claim
// would be granted.
TEST_F(ClaimKeeperTest, AnAttemptIsGrantedOnlyOnce)
{
    const auto samsun = keeper("samsun-1");
    EXPECT_EQ(claim(*samsun, request("k", "a1")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(claim(*samsun, request("k", "a1")).verdict, ClaimVerdict::Held);
    EXPECT_EQ(claim(*keeper("samsun-2"), request("k", "a1")).verdict, ClaimVerdict::Held);
}

// The table goes down at the first, second or third call of a claim whose first answer was lost,
// and stays down past the claim's deadline. In each case the claim must not be granted, and when
// the table is available again the key must be free for the caller's repeat.
TEST_F(ClaimKeeperTest, ATableDownAtAnyStepLeavesTheKeyFree)
{
    for (int step = 1; step <= 3; ++step) {
        const std::string key = "k" + std::to_string(step);
        const auto samsun = keeper("samsun-1");
        int calls = 0;
        m_table.answersToLose = step < 3 ? 1 : 0;
        m_table.requestsToLose = step < 3 ? 0 : 1;
        m_table.beforeCall = [&] {
            if (++calls != step)
                return;
            m_table.down = true;
            m_clock.advance(2s);
        };
        const auto outcome = start(*samsun, request(key, "a1", 1s));
        runUntil(m_io, [&] { return outcome->has_value(); });
        EXPECT_EQ((*outcome)->verdict, ClaimVerdict::Unsettled) << step;
        m_table.beforeCall = {};
        m_table.down = false;
        m_table.answersToLose = 0;
        runUntilIdle(m_io);
        EXPECT_EQ(claim(*keeper("sinop-1"), request(key, "a2")).verdict, ClaimVerdict::Granted);
    }
}

// The table stays down. The caller must be refused by its deadline and not wait for ever.
TEST_F(ClaimKeeperTest, AClaimIsUnsettledByItsDeadlineWhileTheTableIsDown)
{
    const auto samsun = keeper("samsun-1");
    m_table.down = true;
    EXPECT_EQ(claim(*samsun, request("k", "a1", 3ms)).verdict, ClaimVerdict::Unsettled);
    EXPECT_EQ(samsun->counters().abandoned, 0U);
    EXPECT_TRUE(m_table.rows.empty());
}

// In an outage a claim is retried many times with a share of one write a second. If these retries
// counted, the claims after the outage would wait for as many seconds.
TEST_F(ClaimKeeperTest, RetriesInAnOutageDoNotUseUpTheWriteShare)
{
    const auto samsun = keeper("samsun-1");
    samsun->limitWrites(1);
    m_table.down = true;
    const auto outcome = start(*samsun, request("k", "a1", 20s));
    runUntil(m_io, [&] { return m_table.transactions == 60; });
    m_table.down = false;
    runUntilIdle(m_io);
    EXPECT_EQ((*outcome)->verdict, ClaimVerdict::Granted);
    EXPECT_EQ(claim(*samsun, request("k2", "a1", 20s)).verdict, ClaimVerdict::Granted);
}

// One of three keys in a batch was claimed by another instance. The transaction is atomic, so
// without a retry of the other claims one repeat would cause their refusal.
TEST_F(ClaimKeeperTest, AConflictSettlesOnlyItsOwnKeyOfABatch)
{
    claim(*keeper("sinop-1"), request("k2", "other"));
    const auto samsun = keeper("samsun-1");
    std::vector<TaskResult<ClaimOutcome>> outcomes;
    outcomes.reserve(3);
    for (const std::string key : { "k1", "k2", "k3" })
        outcomes.push_back(start(*samsun, request(key, "mine-" + key)));
    runUntilIdle(m_io);
    EXPECT_EQ((*outcomes[0])->verdict, ClaimVerdict::Granted);
    EXPECT_EQ((*outcomes[1])->verdict, ClaimVerdict::Held);
    EXPECT_EQ((*outcomes[1])->holderAttempt, "other");
    EXPECT_EQ((*outcomes[2])->verdict, ClaimVerdict::Granted);
    EXPECT_EQ(samsun->counters().transactions, 2U);
}

TEST_F(ClaimKeeperTest, ManyClaimsTakeOneTransactionAndOneRowMoreThanClaims)
{
    const auto samsun = keeper("samsun-1");
    std::vector<TaskResult<ClaimOutcome>> outcomes;
    outcomes.reserve(50);
    for (int i = 0; i < 50; ++i)
        outcomes.push_back(start(*samsun, request("k" + std::to_string(i), "a")));
    runUntilIdle(m_io);
    EXPECT_EQ(samsun->counters().granted, 50U);
    EXPECT_EQ(samsun->counters().transactions, 1U);
    EXPECT_EQ(samsun->counters().rowWrites, 51U);
}

// An outcome is to be stored while the table is down, and later an answer is lost as well. The
// outcome must not be lost, and a repeat must get it after it was stored.
TEST_F(ClaimKeeperTest, AnOutcomeIsRetriedUntilItIsStored)
{
    const auto samsun = keeper("samsun-1");
    claim(*samsun, request("k", "a1"));
    m_table.down = true;
    samsun->storeOutcome(keyOf("k"), "a1", { 200, "text/plain", "receipt", "completed" });
    runUntil(m_io, [&] { return m_table.reads == 5; });
    EXPECT_EQ(samsun->counters().outcomesPending, 1U);
    m_table.down = false;
    m_table.answersToLose = 1;
    runUntilIdle(m_io);
    EXPECT_EQ(samsun->counters().outcomesPending, 0U);
    EXPECT_EQ(lookup(*samsun, "k")->outcome->body, "receipt");
}

// A claim was granted, but no backend server could be reached before the deadline, and the caller
// was told that nothing ran. Its repeat must not find a key that is held for a day.
TEST_F(ClaimKeeperTest, AnUnusedGrantThatIsReleasedFreesTheKey)
{
    const auto samsun = keeper("samsun-1");
    claim(*samsun, request("k", "a1"));
    samsun->releaseUnused(keyOf("k"), "a2");
    runUntilIdle(m_io);
    EXPECT_EQ(claim(*samsun, request("k", "a2")).verdict, ClaimVerdict::Held);
    samsun->releaseUnused(keyOf("k"), "a1");
    runUntilIdle(m_io);
    EXPECT_EQ(claim(*keeper("sinop-1"), request("k", "a3")).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimKeeperTest, AnOutcomeOfAnotherAttemptIsNotStored)
{
    const auto samsun = keeper("samsun-1");
    claim(*samsun, request("k", "a1"));
    samsun->storeOutcome(keyOf("k"), "a2", { 200, "text/plain", "stranger", "completed" });
    runUntilIdle(m_io);
    EXPECT_FALSE(lookup(*samsun, "k")->outcome.has_value());
}

TEST_F(ClaimKeeperTest, ABodyAboveTheLimitIsDroppedAndMarked)
{
    const auto samsun = keeper("samsun-1");
    claim(*samsun, request("k", "a1"));
    const std::string body(MaxStoredBody + 1, 'x');
    samsun->storeOutcome(keyOf("k"), "a1", { 200, "text/plain", body, "completed" });
    runUntilIdle(m_io);
    const auto known = lookup(*samsun, "k");
    EXPECT_TRUE(known->outcome->bodyDropped);
    EXPECT_EQ(known->outcome->status, 200);
    EXPECT_TRUE(known->outcome->body.empty());
}

// Rows expire by the hour. A repeat in the next hour must still find its row, and a day later the
// rows must be removed, otherwise the table would grow without limit.
TEST_F(ClaimKeeperTest, RowsAreFoundInLaterHoursAndRemovedAfterTheirLifetime)
{
    const auto samsun = keeper("samsun-1");
    claim(*samsun, request("k", "a1"));
    for (int hour = 0; hour < 24; ++hour) {
        m_clock.advance(1h);
        removeExpired(*samsun);
        EXPECT_EQ(claim(*samsun, request("k", "a2")).verdict, ClaimVerdict::Held) << hour;
    }
    m_clock.advance(1h);
    removeExpired(*samsun);
    EXPECT_TRUE(m_table.rows.empty());
    EXPECT_EQ(samsun->counters().rowsExpired, 1U);
}

TEST_F(ClaimKeeperTest, ManySmallBatchesExpireInOneTransaction)
{
    const auto samsun = keeper("samsun-1");
    for (int i = 0; i < 10; ++i)
        claim(*samsun, request("k" + std::to_string(i), "a"));
    m_clock.advance(26h);
    const std::uint64_t before = samsun->counters().transactions;
    removeExpired(*samsun);
    EXPECT_EQ(samsun->counters().transactions, before + 1);
    EXPECT_EQ(samsun->counters().rowsExpired, 10U);
    EXPECT_TRUE(m_table.rows.empty());
}

// A claim is abandoned in one hour and its row taken over in a later one. When the first hour's
// batch expires, deleting the row by its key alone would free a key that was executed within the
// day.
TEST_F(ClaimKeeperTest, ExpiryLeavesARowThatALaterHourTookOver)
{
    const auto samsun = keeper("samsun-1");
    m_table.pauseAnswers();
    const auto outcome = start(*samsun, request("k", "a1", 1s));
    runUntil(m_io, [&] { return m_table.transactions == 1; });
    m_clock.advance(2s);
    m_table.resumeAnswers();
    runUntilIdle(m_io);
    m_clock.advance(10h);
    EXPECT_EQ(claim(*samsun, request("k", "a2")).verdict, ClaimVerdict::Granted);
    m_clock.advance(16h);
    removeExpired(*samsun);
    EXPECT_EQ(m_table.rowCount("claim-batches"), 1U);
    EXPECT_EQ(claim(*samsun, request("k", "a3")).verdict, ClaimVerdict::Held);
}

} // namespace
} // namespace snipestall::peer
