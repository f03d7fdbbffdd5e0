#include "harness/ledger_files.hpp"
#include "harness/topology_test_base.hpp"
#include "harness/wait_until.hpp"
#include "proof/caller.hpp"

#include <chrono>
#include <string>

namespace snipestall::harness {
namespace {

constexpr auto Leaving = "engine-1";
constexpr std::int64_t LatestMs = 3000;
constexpr std::chrono::milliseconds Notice { 9000 };
constexpr auto LaggingList = R"({"list_lag_ms":30000})";

constexpr auto Mix = R"(
rate: 30
duration_ms: 12000
seed: 4
classes:
  - {name: chat, share: 1, model: writer, max_tokens: [8, 64]}
)";

/// Tests that a leaving backend server gets no new work after three seconds, by the record that the
/// server keeps.
class LeavingTest : public TopologyTest
{
protected:
    static TopologySpec spec()
    {
        TopologySpec spec;
        spec.entries = { { "north-1", "north" }, { "north-2", "north" } };
        for (const auto *name : { "engine-1", "engine-2", "engine-3" })
            spec.servers.push_back({ name, "north", "language", { "writer" } });
        return spec;
    }

    std::size_t attempts(const std::string &server)
    {
        return topology().ledgerOf(server).attempts().size();
    }

    void expectNothingNewAfterTheLimit()
    {
        const load::Ledger ledger = topology().ledgerOf(Leaving);
        for (const auto &[id, attempt] : ledger.attempts())
            EXPECT_LE(attempt.afterNoticeMs.value_or(0), LatestMs) << id;
    }
};

// Guards against new work on a leaving engine: the cloud announces that it reclaims the engine, but
// the instance list lags by 30 s and shows the engine as live all along, while the load goes on. No
// attempt may begin on the engine later than three seconds after its notice, and the other engines
// must answer every call.
TEST_F(LeavingTest, TheListLagsAndCallsTheEngineLive)
{
    start(spec());
    topology().setPlatformFaults(LaggingList);
    const std::size_t before = attempts(Leaving);
    const auto load = topology().startLoad(Mix);
    ASSERT_TRUE(waitUntil([&] { return attempts(Leaving) > before + 5; }));
    topology().giveNotice(Leaving, Notice);
    topology().loadReport(*load);
    EXPECT_EQ(load->exitStatus(), 0) << load->log();
    EXPECT_GT(attempts("engine-2") + attempts("engine-3"), 100U);
    expectNothingNewAfterTheLimit();
}

// Guards against new work from an instance that started after the notice: an instance is killed,
// the engine gets its notice, and the instance starts again. Its only source is the list, which
// still shows the engine as live. It must not send to the engine, which the other instance knows to
// be leaving.
TEST_F(LeavingTest, TheListLagsAndAnInstanceStartedAfterTheNoticeKnowsNothingElse)
{
    start(spec());
    topology().setPlatformFaults(LaggingList);
    topology().process("north-2").kill();
    const auto load = topology().startLoad(Mix);
    const std::size_t before = attempts(Leaving);
    ASSERT_TRUE(waitUntil([&] { return attempts(Leaving) > before + 5; }));
    topology().giveNotice(Leaving, Notice);
    topology().restart("north-2");
    topology().waitForService("north-2");
    topology().loadReport(*load);
    expectNothingNewAfterTheLimit();
}

} // namespace
} // namespace snipestall::harness
