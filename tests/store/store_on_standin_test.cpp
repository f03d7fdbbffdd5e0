#include "harness/http_call.hpp"
#include "harness/port_pool.hpp"
#include "harness/process.hpp"
#include "harness/temp_dir.hpp"
#include "harness/wait_until.hpp"
#include "snipestall/base/system_clock.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/peer/steward.hpp"
#include "snipestall/platform/http_platform.hpp"
#include "snipestall/platform/run_task.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace snipestall {
namespace {

using namespace std::chrono_literals;
using namespace snipestall::platform;

constexpr const char *Document =
    "operators: {ayla: {key_hashes: "
    "[2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]}}\n"
    "customers: {kiyi: {weight: 1}}\n";

/// Tests the parts of the store over HTTP against a real process of the stand-in platform. Each
/// wait ends when the expected state is reached; no result depends on how long it took.
class StoreOnStandinTest : public testing::Test
{
protected:
    void SetUp() override
    {
        harness::PortPool ports;
        m_endpoint = { "127.0.0.1", ports.take() };
        harness::ProcessSpec spec { "platform",
                                    "standin-platform",
                                    { "--listen=" + m_endpoint.toString() },
                                    m_directory.file("platform.log") };
        m_process = std::move(harness::Process::start(std::move(spec)).value());
        ASSERT_TRUE(harness::waitUntil(
            [this] { return harness::httpGet(m_endpoint, "/control/counters").has_value(); }));
    }

    std::unique_ptr<HttpPlatform> connect()
    {
        HttpPlatformOptions options;
        options.idleTimeout = 100ms;
        options.circuit.firstPause = 10ms;
        options.circuit.longestPause = 20ms;
        return HttpPlatform::create(m_io, m_endpoint, m_clock, options);
    }

    std::unique_ptr<peer::ClaimKeeper> keeper(HttpPlatform &platform, const std::string &instance)
    {
        return peer::ClaimKeeper::create(m_io, platform, m_clock, instance);
    }

    void faults(const std::string &json)
    {
        ASSERT_TRUE(harness::httpPost(m_endpoint, "/control/faults", json).has_value());
    }

    template<typename T>
    T run(wire::Task<T> task)
    {
        const auto slot = startTask(m_io, std::move(task));
        runUntil(m_io, [&] { return slot->has_value(); });
        return std::move(slot->value());
    }

    peer::ClaimVerdict claim(peer::ClaimKeeper &keeper, const std::string &attempt,
                             std::chrono::milliseconds left = 30s)
    {
        peer::ClaimRequest request {
            { "kiyi", "ledger", "k" }, "request", attempt, "body", m_clock.steadyNow() + left
        };
        return run(keeper.claim(std::move(request))).verdict;
    }

    harness::TempDir m_directory;
    std::unique_ptr<harness::Process> m_process;
    wire::Endpoint m_endpoint;
    boost::asio::io_context m_io;
    SystemClock m_clock;
};

// Guards against a claim that stays unsettled when the table stores it and closes the connection
// without an answer. The claimer must find its own row and go on, and another claimer must find the
// key held.
TEST_F(StoreOnStandinTest, ALostAnswerToAClaimIsSettled)
{
    const auto platform = connect();
    const auto samsun = keeper(*platform, "samsun-1");
    faults(R"({"lose_answers":1})");
    EXPECT_EQ(claim(*samsun, "a1"), peer::ClaimVerdict::Granted);
    EXPECT_EQ(samsun->counters().settledByReading, 1U);
    EXPECT_EQ(claim(*keeper(*platform, "sinop-1"), "a2"), peer::ClaimVerdict::Held);
}

// Guards against a key that is held by a late write: the platform is paused while the write of the
// claim is in its socket, and the caller is refused as not run. When the platform resumes, it
// executes the write. The key must then be free for the caller's repeat, and the late write must
// not hold it.
TEST_F(StoreOnStandinTest, AWriteCarriedOutAfterAPauseOfThePlatformHoldsNothing)
{
    const auto platform = connect();
    const auto samsun = keeper(*platform, "samsun-1");
    m_process->freeze();
    EXPECT_EQ(claim(*samsun, "a1", 300ms), peer::ClaimVerdict::Unsettled);
    m_process->thaw();
    runUntil(m_io, [&] { return samsun->counters().abandoned == 1; });
    const auto other = connect();
    EXPECT_EQ(claim(*keeper(*other, "sinop-1"), "a2"), peer::ClaimVerdict::Granted);
}

TEST_F(StoreOnStandinTest, AClaimWithTheTableDownIsUnsettledAndFreeAfterwards)
{
    const auto platform = connect();
    const auto samsun = keeper(*platform, "samsun-1");
    faults(R"({"table":"down"})");
    EXPECT_EQ(claim(*samsun, "a1", 300ms), peer::ClaimVerdict::Unsettled);
    faults(R"({"table":"up"})");
    EXPECT_EQ(claim(*samsun, "a2"), peer::ClaimVerdict::Granted);
}

// Guards against a burst of claims on a platform that has just recovered. It has been down for
// long, and every instance has claims waiting; if each claim were retried on its own as soon as
// possible, the platform would receive all of them at once. Instead, each instance must send a
// probe and then its claims in one batch.
TEST_F(StoreOnStandinTest, ARecoveringPlatformMeetsBatchesAndNoBurst)
{
    constexpr int Instances = 8;
    constexpr int ClaimsEach = 50;
    std::vector<std::unique_ptr<HttpPlatform>> platforms;
    std::vector<std::unique_ptr<peer::ClaimKeeper>> keepers;
    std::vector<TaskResult<peer::ClaimOutcome>> outcomes;
    faults(R"({"table":"down"})");
    for (int instance = 0; instance < Instances; ++instance) {
        platforms.push_back(connect());
        keepers.push_back(keeper(*platforms.back(), std::to_string(instance)));
        for (int i = 0; i < ClaimsEach; ++i) {
            const std::string name = std::to_string(instance) + "." + std::to_string(i);
            peer::ClaimRequest request {
                { "kiyi", "ledger", name }, name, name, "body", m_clock.steadyNow() + 30s
            };
            outcomes.push_back(startTask(m_io, keepers.back()->claim(std::move(request))));
        }
    }
    // Waits long enough for the circuit of each instance to have opened and probed.
    runUntil(m_io, [&] {
        return std::ranges::all_of(platforms,
                                   [](const auto &each) { return each->counters().failures >= 5; });
    });
    const auto before = harness::httpGetObject(m_endpoint, "/control/counters");
    faults(R"({"table":"up"})");
    runUntil(m_io, [&] {
        return std::ranges::all_of(outcomes, [](const auto &slot) { return slot->has_value(); });
    });
    const auto after = harness::httpGetObject(m_endpoint, "/control/counters");
    for (const auto &outcome : outcomes)
        EXPECT_EQ((*outcome)->verdict, peer::ClaimVerdict::Granted);
    const auto transactions =
        harness::numberOf(after, "transactions") - harness::numberOf(before, "transactions");
    RecordProperty("transactions", static_cast<int>(transactions));
    EXPECT_LE(transactions, 2 * Instances);
}

// Guards against making a change twice: a change is stored and its answer is lost, and the client
// repeats the change after another change.
TEST_F(StoreOnStandinTest, ASettingsChangeTakesEffectOnce)
{
    const auto platform = connect();
    peer::SettingsStore store(*platform, m_clock);
    faults(R"({"lose_answers":1})");
    const peer::SettingsChange first { "c1", 0, "ayla", "first", {}, Document };
    EXPECT_EQ(run(store.change(first))->version, 1U);
    const peer::SettingsChange second {
        "c2", 1, "ayla", "more", { { "customers/kiyi/weight", "2" } }, {}
    };
    EXPECT_EQ(run(store.change(second))->version, 2U);
    EXPECT_EQ(run(store.change(first))->version, 1U);
    EXPECT_EQ(run(store.headVersion()).value(), 2U);
    const auto audit = run(store.audit(0, 10));
    ASSERT_EQ(audit->size(), 2U);
    EXPECT_EQ(audit->front().changeId, "c2");
}

// Guards against orders from a steward whose lease has expired: the platform is paused for longer
// than the lease. The steward must stop giving orders by itself, and continue under its fencing
// token, or that of its successor, when the platform resumes.
TEST_F(StoreOnStandinTest, AStewardWithoutThePlatformGivesNoOrders)
{
    const auto platform = connect();
    peer::StewardOptions options;
    options.term = 500ms;
    options.safetyMargin = 100ms;
    options.maxOrderDelay = 50ms;
    options.renewInterval = 50ms;
    const auto steward =
        peer::Steward::create(m_io, *platform, m_clock, "samsun-hall", "samsun-1", 1, options);
    steward->start();
    runUntil(m_io, [&] { return steward->mayOrder().has_value(); });
    const auto fencing = steward->mayOrder();
    m_process->freeze();
    runUntil(m_io, [&] { return !steward->mayOrder(); });
    m_process->thaw();
    runUntil(m_io, [&] { return steward->mayOrder().has_value(); });
    EXPECT_GE(steward->mayOrder(), fencing);
    boost::asio::co_spawn(m_io, steward->stop(), boost::asio::detached);
    runUntilIdle(m_io);
}

TEST_F(StoreOnStandinTest, OrdersObjectsAndTheListSpeakThePlatformsProtocol)
{
    const auto platform = connect();
    EXPECT_EQ(run(platform->get("none")).error().kind, ErrorKind::NotFound);
    EXPECT_TRUE(run(platform->put("settings/1", "bytes")).has_value());
    EXPECT_EQ(run(platform->get("settings/1")).value(), "bytes");
    EXPECT_TRUE(run(platform->list("samsun-hall"))->empty());
    faults(R"({"refuse_starts":true})");
    const StartOrder order { "o1", 2, "language", "samsun-hall", "spot-small" };
    EXPECT_EQ(run(platform->start(order)).error().kind, ErrorKind::Exhausted);
}

} // namespace
} // namespace snipestall
