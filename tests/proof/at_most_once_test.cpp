#include "harness/http_call.hpp"
#include "harness/ledger_files.hpp"
#include "harness/topology_test_base.hpp"
#include "harness/wait_until.hpp"
#include "proof/caller.hpp"

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace snipestall::harness {
namespace {

/// Tests that a request marked as non-idempotent runs at most once, by the run counts that the
/// ledger services keep.
class AtMostOnceTest : public TopologyTest
{
protected:
    std::int64_t runs(const std::string &key) { return runsOf(topology().ledger(), key); }

    /// Sends a top-up with a deadline of 3000 ms. A repeat waits for the outcome of the run before
    /// it, up to its own deadline.
    Answer topUpAt(const std::string &entry, const std::string &key)
    {
        auto request = topUp(key);
        request.fields.set("Snipestall-Deadline-Ms", "3000");
        return call(topology().callers(entry), request);
    }

    std::size_t claimRows()
    {
        const auto response = httpPost(topology().platform(), "/table/scan",
                                       R"({"table":"claims","prefix":"","after":"","limit":100})");
        if (!response || response->status != 200)
            return 0;
        constexpr std::string_view RowBegin = R"("key":)";
        std::size_t count = 0;
        for (std::size_t at = response->body.find(RowBegin); at != std::string::npos;
             at = response->body.find(RowBegin, at + 1))
            ++count;
        return count;
    }

    /// Expects that the outcomes in the answers match the run counts of the ledgers.
    void expectOutcomesMatchRuns(const std::string &key, const std::vector<Answer> &answers)
    {
        const std::int64_t count = runs(key);
        EXPECT_LE(count, 1) << key;
        std::string answerTexts;
        for (const Answer &answer : answers)
            answerTexts += "\n" + answer.toString();
        const auto completed = [](const Answer &answer) { return answer.completed(); };
        const auto notRun = [](const Answer &answer) { return answer.notRun(); };
        if (std::any_of(answers.begin(), answers.end(), completed)) {
            EXPECT_EQ(count, 1) << key << answerTexts;
        }
        if (std::all_of(answers.begin(), answers.end(), notRun)) {
            EXPECT_EQ(count, 0) << key << answerTexts;
        }
    }
};

TopologySpec slowLedgers(const std::string &workMs)
{
    TopologySpec spec = TopologySpec::small();
    for (ServerSpec &server : spec.servers) {
        if (server.models.empty())
            server.arguments.push_back("--work_ms=" + workMs);
    }
    return spec;
}

// Guards against charging an account twice when a client library hedges: it sends a top-up to both
// data centres at the same moment, and both instances claim the key. The account must be charged
// once, and each caller must get the one outcome or the answer that the outcome is unknown. Several
// keys are sent at once.
TEST_F(AtMostOnceTest, TwoSubmissionsOfOneKeyReachTwoDataCentresAtTheSameMoment)
{
    constexpr int Keys = 8;
    start(slowLedgers("50"));
    std::vector<std::vector<std::future<Answer>>> calls;
    for (int i = 0; i < Keys; ++i) {
        const std::string key = "hedged-" + std::to_string(i);
        calls.emplace_back();
        for (const auto *entry : { "north-1", "south-1" })
            calls.back().push_back(callAsync(topology().callers(entry), topUp(key)));
    }
    for (int i = 0; i < Keys; ++i) {
        const std::string key = "hedged-" + std::to_string(i);
        std::vector<Answer> answers;
        for (auto &answer : calls[static_cast<std::size_t>(i)])
            answers.push_back(answer.get());
        expectOutcomesMatchRuns(key, answers);
        EXPECT_EQ(runs(key), 1) << answers[0].toString() << answers[1].toString();
    }
}

// Guards against sending a request that its caller has given up: the only instance of a data centre
// has written its claim and is paused before the positive answer of the table reaches it. The
// deadline of the request passes, and the caller sends the top-up again elsewhere. Then the
// instance resumes and finds the positive answer in its socket.
TEST_F(AtMostOnceTest, TheClaimerIsFrozenPastTheDeadlineAndWakes)
{
    constexpr std::chrono::milliseconds Deadline { 4000 };
    TopologySpec spec = TopologySpec::small();
    spec.entries = { { "north-1", "north" }, { "south-1", "south" } };
    spec.platformProxied = true;
    start(spec);
    const std::size_t before = claimRows();
    topology().proxy("platform/north").set(R"({"delay_ms":400})");
    auto request = topUp("frozen");
    request.fields.set("Snipestall-Deadline-Ms", std::to_string(Deadline.count()));
    auto first = callAsync(topology().callers("north-1"), request);
    ASSERT_TRUE(waitUntil([&] { return claimRows() > before; }));
    topology().process("north-1").freeze();
    EXPECT_EQ(runs("frozen"), 0);
    std::this_thread::sleep_for(Deadline + std::chrono::seconds(1));
    const Answer again = topUpAt("south-1", "frozen");
    EXPECT_EQ(runs("frozen"), 0) << "the claim belongs to the frozen instance: "
                                 << again.toString();
    EXPECT_FALSE(again.completed()) << again.toString();
    topology().process("north-1").thaw();
    topology().proxy("platform/north").heal();
    const Answer woken = first.get();
    EXPECT_FALSE(woken.completed()) << woken.toString();
    expectOutcomesMatchRuns("frozen", { woken, again });
    EXPECT_EQ(runs("frozen"), 0);
}

// Guards against a second charge after a lost receipt: the service books the top-up, and the
// connection breaks before the receipt is sent. The caller gets no outcome and sends the top-up
// again, in this and in the other data centre. It must not be booked again, and no answer may say
// that it was not run.
TEST_F(AtMostOnceTest, TheServiceRunsItAndItsAnswerIsCut)
{
    start(TopologySpec::small());
    for (const auto *service : { "ledger-1", "ledger-2" })
        topology().controlServer(service, R"({"cut_next_answers":1})");
    std::vector<Answer> answers { topUpAt("north-1", "cut") };
    EXPECT_EQ(runs("cut"), 1) << answers.back().toString();
    for (const auto *entry : { "north-1", "north-2", "south-1", "south-2" })
        answers.push_back(topUpAt(entry, "cut"));
    for (const Answer &answer : answers)
        EXPECT_FALSE(answer.notRun()) << answer.toString();
    EXPECT_EQ(runs("cut"), 1);
}

// Guards against a second charge after an instance was killed: the instance that accepted the
// top-up is killed while the service works on it. The connection of the caller breaks, and it sends
// the top-up again to another instance of the data centre and to the other data centre. It must not
// be booked again, and no answer may say that it was not run.
TEST_F(AtMostOnceTest, TheEntryInstanceIsKilledAfterDispatchAndTheCallerRepeatsElsewhere)
{
    start(slowLedgers("2000"));
    auto request = topUp("killed");
    request.fields.set("Snipestall-Deadline-Ms", "8000");
    auto first = callAsync(topology().callers("north-1"), request);
    ASSERT_TRUE(waitUntil([this] { return runs("killed") == 1; }));
    topology().process("north-1").kill();
    EXPECT_EQ(first.get().status, 0);
    for (const auto *entry : { "north-2", "south-1", "south-2", "north-2" }) {
        const Answer answer = topUpAt(entry, "killed");
        EXPECT_FALSE(answer.notRun()) << answer.toString();
        EXPECT_NE(answer.status, 0) << answer.toString();
    }
    EXPECT_EQ(runs("killed"), 1);
}

// Guards against running a top-up while the table of the platform is down, when no instance can
// know whether its key has run. The top-up must be refused as not run with a retry time, and must
// not have run. After the outage the same key runs once.
TEST_F(AtMostOnceTest, ThePlatformIsDownAndTheTopUpIsRefusedAndNotRun)
{
    start(TopologySpec::small());
    topology().setPlatformFaults(R"({"table":"down"})");
    std::vector<Answer> answers;
    for (const auto *entry : { "north-1", "south-1" })
        answers.push_back(topUpAt(entry, "outage"));
    for (const Answer &answer : answers) {
        EXPECT_TRUE(answer.notRun()) << answer.toString();
        EXPECT_FALSE(answer.retryAfter.empty()) << answer.toString();
    }
    EXPECT_EQ(runs("outage"), 0);
    topology().setPlatformFaults(R"({"table":"up"})");
    EXPECT_TRUE(waitUntil([this] { return topUpAt("south-1", "outage").completed(); }));
    EXPECT_TRUE(topUpAt("north-1", "outage").completed());
    EXPECT_EQ(runs("outage"), 1);
}

} // namespace
} // namespace snipestall::harness
