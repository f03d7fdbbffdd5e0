#include "snipestall/base/manual_clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/claim_row.hpp"
#include "snipestall/platform/fake_table_service.hpp"
#include "snipestall/platform/run_task.hpp"

#include <gtest/gtest.h>

#include <array>
#include <map>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;
using namespace snipestall::platform;
using wire::Task;

/// Average number of claims of a key before new keys replace it, so that faults always meet some
/// keys without a holder.
constexpr std::uint64_t ClaimsPerKey = 4;
constexpr std::uint64_t KeysAtOnce = 3;

/// Three instances claim a few keys at a time, repeatedly, while the table fails in every way that
/// FakeTableService supports. Deadlines are minutes of the manual clock, so no outcome depends on a
/// real timer.
class FaultInjectionRun
{
public:
    explicit FaultInjectionRun(std::uint64_t seed)
        : m_random(seed)
    {
        ClaimOptions options;
        options.batchWindow = 0ms;
        options.updateWindow = 0ms;
        options.writesPerSecond = 0;
        options.initialBackoff = 0ms;
        options.maxBackoff = 0ms;
        options.maxBatch = 3;
        for (const std::string name : { "samsun-1", "sinop-1", "ordu-1" })
            m_keepers.push_back(ClaimKeeper::create(m_io, m_table, m_clock, name, options));
    }

    void step()
    {
        using Action = void (FaultInjectionRun::*)();
        constexpr std::array<Action, 10> Actions {
            &FaultInjectionRun::claim,        &FaultInjectionRun::claim,
            &FaultInjectionRun::claim,        &FaultInjectionRun::loseAnswer,
            &FaultInjectionRun::loseRequest,  &FaultInjectionRun::delayRequest,
            &FaultInjectionRun::deliverLate,  &FaultInjectionRun::toggleOutage,
            &FaultInjectionRun::toggleFreeze, &FaultInjectionRun::advanceClock
        };
        (this->*Actions.at(m_random.below(Actions.size())))();
        const std::uint64_t handlers = m_random.below(30);
        for (std::uint64_t i = 0; i < handlers; ++i)
            m_io.poll_one();
    }

    /// Ends all faults and runs until every claim and every abandon mark is settled.
    void recover()
    {
        m_table.down = false;
        m_table.answersToLose = 0;
        m_table.requestsToLose = 0;
        m_table.requestsToHold = 0;
        m_table.resumeAnswers();
        runUntilIdle(m_io);
        m_table.applyHeldRequests();
    }

    void check()
    {
        std::map<std::uint64_t, int> granted;
        for (const IssuedClaim &issued : m_issuedClaims) {
            ASSERT_TRUE(issued.outcome->has_value());
            granted.try_emplace(issued.key, 0);
            if ((*issued.outcome)->verdict == ClaimVerdict::Granted) {
                ++granted[issued.key];
                EXPECT_EQ(rowOf(issued.key).attempt, issued.attempt);
                EXPECT_EQ(rowOf(issued.key).state, ClaimState::Claimed);
            }
        }
        for (const auto &[key, times] : granted) {
            EXPECT_LE(times, 1) << "key " << key;
            const bool hasRow = m_table.rows.contains(claimRowKey(keyOf(key)));
            if (times == 0 && hasRow) {
                EXPECT_EQ(rowOf(key).state, ClaimState::Abandoned);
            }
            m_granted += times;
        }
    }

    [[nodiscard]] int grantedKeys() const { return m_granted; }

private:
    struct IssuedClaim
    {
        std::uint64_t key = 0;
        std::string attempt;
        TaskResult<ClaimOutcome> outcome;
    };

    static ClaimKey keyOf(std::uint64_t key) { return { "kiyi", "ledger", std::to_string(key) }; }

    ClaimRow rowOf(std::uint64_t key)
    {
        return decodeClaim(m_table.rows.at(claimRowKey(keyOf(key)))).value();
    }

    void claim()
    {
        const std::uint64_t key = m_issuedClaims.size() / ClaimsPerKey + m_random.below(KeysAtOnce);
        const std::string attempt = "a" + std::to_string(m_issuedClaims.size());
        const auto left = std::chrono::minutes(1 + m_random.below(30));
        const ClaimRequest request { keyOf(key), "r", attempt, "b", m_clock.steadyNow() + left };
        auto &keeper = *m_keepers[m_random.below(m_keepers.size())];
        m_issuedClaims.push_back({ key, attempt, startTask(m_io, claimInTime(keeper, request)) });
    }
    Task<ClaimOutcome> claimInTime(ClaimKeeper &keeper, ClaimRequest request)
    {
        const auto deadline = request.deadline;
        auto outcome = co_await keeper.claim(std::move(request));
        const bool late = m_clock.steadyNow() >= deadline;
        EXPECT_FALSE(late && outcome.verdict == ClaimVerdict::Granted);
        co_return outcome;
    }
    void loseAnswer() { ++m_table.answersToLose; }
    void loseRequest() { ++m_table.requestsToLose; }
    void delayRequest() { ++m_table.requestsToHold; }
    void deliverLate() { m_table.applyHeldRequests(); }
    void toggleOutage() { m_table.down = !m_table.down; }
    void toggleFreeze()
    {
        m_frozen = !m_frozen;
        if (m_frozen)
            m_table.pauseAnswers();
        else
            m_table.resumeAnswers();
    }
    void advanceClock() { m_clock.advance(std::chrono::minutes(m_random.below(10))); }

    Random m_random;
    boost::asio::io_context m_io;
    ManualClock m_clock;
    FakeTableService m_table { m_io };
    std::vector<std::unique_ptr<ClaimKeeper>> m_keepers;
    std::vector<IssuedClaim> m_issuedClaims;
    bool m_frozen = false;
    int m_granted = 0;
};

// Guards against double grants under any sequence of faults: lost answers, requests that are lost
// or delivered late, outages, a frozen table and clocks that jump past deadlines. No key may be
// granted twice, the row of a granted key must stay with its holder, and a key without a holder
// must not stay claimed.
TEST(ClaimFaultsTest, NoKeyIsGrantedTwiceUnderAnyTableFault)
{
    constexpr std::uint64_t Seeds = 300;
    constexpr int Steps = 150;
    int granted = 0;
    for (std::uint64_t seed = 1; seed <= Seeds && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FaultInjectionRun run(seed);
        for (int i = 0; i < Steps; ++i)
            run.step();
        run.recover();
        run.check();
        granted += run.grantedKeys();
    }
    // The test proves nothing if the faults prevent all grants.
    EXPECT_GT(granted, static_cast<int>(Seeds));
}

} // namespace
} // namespace snipestall::peer
