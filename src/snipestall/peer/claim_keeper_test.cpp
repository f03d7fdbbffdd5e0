#include "snipestall/peer/claim_keeper.hpp"

#include "snipestall/base/manual_clock.hpp"
#include "snipestall/peer/claim_row.hpp"
#include "snipestall/platform/fake_table_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;
using platform::FakeTableService;

class ClaimKeeperTest : public testing::Test
{
protected:
    static ClaimOptions options()
    {
        ClaimOptions chosen;
        chosen.batchWindow = 0ms;
        chosen.firstPause = 1ms;
        chosen.longestPause = 1ms;
        return chosen;
    }

    std::unique_ptr<ClaimKeeper> keeper(const std::string &instance)
    {
        return ClaimKeeper::create(m_io, m_table, m_clock, instance, options());
    }

    ClaimRequest request(const std::string &key, const std::string &attempt,
                         std::chrono::milliseconds left = 10min) const
    {
        ClaimRequest asked;
        asked.key = { "kiyi", "ledger", key };
        asked.request = "request-of-" + attempt;
        asked.attempt = attempt;
        asked.bodyHash = "body";
        asked.deadline = m_clock.steadyNow() + left;
        return asked;
    }

    /// Starts a claim; its outcome is there when the loop has run.
    std::shared_ptr<std::optional<ClaimOutcome>> start(ClaimKeeper &keeper, ClaimRequest asked)
    {
        auto slot = std::make_shared<std::optional<ClaimOutcome>>();
        boost::asio::co_spawn(m_io, claimInto(keeper, std::move(asked), slot),
                              boost::asio::detached);
        return slot;
    }

    static wire::Task<void> claimInto(ClaimKeeper &keeper, ClaimRequest asked,
                                      std::shared_ptr<std::optional<ClaimOutcome>> slot)
    {
        *slot = co_await keeper.claim(std::move(asked));
    }

    /// Runs the loop until nothing is left to do.
    void run()
    {
        m_io.restart();
        m_io.run();
    }

    /// Runs the loop until `done` holds.
    void runUntil(const std::function<bool()> &done)
    {
        m_io.restart();
        while (!done() && m_io.run_one() > 0) { }
    }

    ClaimOutcome claim(ClaimKeeper &keeper, ClaimRequest asked)
    {
        const auto slot = start(keeper, std::move(asked));
        run();
        return slot->value();
    }

    std::optional<ClaimOutcome> lookup(ClaimKeeper &keeper, const std::string &key)
    {
        std::optional<ClaimOutcome> found;
        boost::asio::co_spawn(m_io, lookupInto(keeper, { "kiyi", "ledger", key }, found),
                              boost::asio::detached);
        run();
        return found;
    }

    static wire::Task<void> lookupInto(ClaimKeeper &keeper, ClaimKey key,
                                       std::optional<ClaimOutcome> &found)
    {
        const auto result = co_await keeper.lookup(std::move(key));
        found = result.value();
    }

    ClaimState stateOf(const std::string &key)
    {
        const auto &row = m_table.rows.at(claimRowKey({ "kiyi", "ledger", key }));
        return decodeClaim(row).value().state;
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
    first->storeOutcome({ "kiyi", "ledger", "k" }, "a1", { 200, "text/plain", bytes, "completed" });
    run();
    const auto known = lookup(*second, "k");
    ASSERT_TRUE(known.has_value() && known->outcome.has_value());
    EXPECT_EQ(known->outcome->body, bytes);
    EXPECT_EQ(known->outcome->outcome, "completed");
    EXPECT_FALSE(lookup(*second, "another").has_value());
}

} // namespace
} // namespace snipestall::peer
