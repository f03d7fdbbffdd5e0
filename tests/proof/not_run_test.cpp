#include "harness/ledger_files.hpp"
#include "harness/topology_test_base.hpp"
#include "harness/wait_until.hpp"
#include "proof/caller.hpp"

#include <algorithm>
#include <future>
#include <string>
#include <vector>

namespace snipestall::harness {
namespace {

using Answers = std::vector<Answer>;
using Calls = std::vector<std::future<Answer>>;

Answers wait(Calls &calls)
{
    Answers answers;
    for (auto &call : calls)
        answers.push_back(call.get());
    return answers;
}

wire::HttpRequest withDeadline(wire::HttpRequest request, int milliseconds)
{
    request.fields.set("Snipestall-Deadline-Ms", std::to_string(milliseconds));
    return request;
}

/// Tests that a request that was refused as not run did not run, by the records that the engines
/// and the ledger services keep.
class NotRunTest : public TopologyTest
{
protected:
    /// Waits until no instance has a request left that it could still send.
    void waitUntilIdle()
    {
        const auto idle = [this](const EntrySpec &entry) {
            const auto now = topology().status(entry.name);
            return now
                && std::all_of(now->queues.begin(), now->queues.end(), [](const auto &queue) {
                       return queue.waiting == 0 && queue.running == 0;
                   });
        };
        EXPECT_TRUE(waitUntil([&] {
            const auto &entries = topology().spec().entries;
            return std::all_of(entries.begin(), entries.end(), idle);
        }));
    }

    /// Returns how many requests were refused as not run; expects that no record contains any of
    /// them.
    int expectRefusedDidNotRun(const Answers &answers)
    {
        waitUntilIdle();
        const load::Ledger ledger = topology().ledger();
        int refused = 0;
        for (const Answer &answer : answers) {
            if (!answer.notRun())
                continue;
            ++refused;
            EXPECT_FALSE(answer.request.empty()) << answer.toString();
            EXPECT_TRUE(attemptsOf(ledger, answer.request).empty()) << answer.toString();
            const auto &runs = ledger.runs();
            EXPECT_TRUE(std::none_of(runs.begin(), runs.end(), [&](const load::LedgerRun &run) {
                return run.request == answer.request && run.count > 0;
            })) << answer.toString();
        }
        return refused;
    }

    std::string ownerOf(const std::string &server)
    {
        std::string owner;
        const auto owned = [&] {
            for (const EntrySpec &entry : topology().spec().entries) {
                const auto now = topology().status(entry.name);
                for (const auto &held :
                     now ? now->backendServers : std::vector<admin::BackendServerStatus>()) {
                    if (held.name == server)
                        owner = entry.name;
                }
            }
            return !owner.empty();
        };
        EXPECT_TRUE(waitUntil(owned));
        return owner;
    }
};

// Guards against running a request after it was refused as not run: a top-up is forwarded to the
// owner of the backend server of the ledger. The owner is paused while it relays this top-up and
// while more requests are on their way to it. Their callers are answered at their deadlines. Then
// the owner resumes and still holds these requests.
TEST_F(NotRunTest, TheOwnerIsFrozenWhileForwardsAreUnderWay)
{
    constexpr int Deadline = 3000;
    constexpr int Calls = 6;
    TopologySpec spec;
    spec.entries = { { "north-1", "north" }, { "north-2", "north" } };
    spec.servers = { { "engine-1", "north", "language", { "writer" } },
                     { "ledger-1", "north", "ledger", {}, "spot", { "--work_ms=1000" } } };
    start(spec);
    const std::string owner = ownerOf("ledger-1");
    const std::string home = owner == "north-1" ? "north-2" : "north-1";
    std::vector<std::future<Answer>> calls;
    calls.push_back(callAsync(topology().callers(home), withDeadline(topUp("relayed"), Deadline)));
    ASSERT_TRUE(waitUntil([this] { return runsOf(topology().ledger(), "relayed") == 1; }));
    topology().process(owner).freeze();
    for (int i = 0; i < Calls; ++i) {
        const std::string name = "held-" + std::to_string(i);
        calls.push_back(callAsync(topology().callers(home), withDeadline(topUp(name), Deadline)));
        calls.push_back(callAsync(topology().callers(home),
                                  withDeadline(completion(name, 8, false), Deadline)));
    }
    const Answers answers = wait(calls);
    topology().process(owner).thaw();
    expectRefusedDidNotRun(answers);
    EXPECT_FALSE(answers.front().notRun()) << answers.front().toString();
    for (int i = 0; i < Calls; ++i)
        EXPECT_LE(runsOf(topology().ledger(), "held-" + std::to_string(i)), 1);
}

// Guards against refusing a request as not run after it was sent: there are far more callers than
// the engines have slots, and only the first callers can meet their deadlines, so that dispatches
// race with deadlines. Many requests are refused, and no engine may have received those.
TEST_F(NotRunTest, SaturationWithShortDeadlines)
{
    constexpr int Calls = 80;
    TopologySpec spec = TopologySpec::small();
    for (ServerSpec &server : spec.servers) {
        if (!server.models.empty())
            server.arguments = { "--slots=1", "--queue=1", "--token_ms=10" };
        else
            server.arguments = { "--slots=1", "--work_ms=100" };
    }
    start(spec);
    std::vector<std::future<Answer>> calls;
    for (int i = 0; i < Calls; ++i) {
        const std::string name = "crowd-" + std::to_string(i);
        const auto &entries = topology().spec().entries;
        const auto &entry = entries[static_cast<std::size_t>(i) % entries.size()].name;
        const int deadline = 300 + 10 * i;
        auto request = i % 8 < 4 ? topUp(name) : completion(name, 24, false);
        calls.push_back(callAsync(topology().callers(entry), withDeadline(request, deadline)));
    }
    const Answers answers = wait(calls);
    EXPECT_GT(expectRefusedDidNotRun(answers), 0);
    EXPECT_TRUE(std::any_of(answers.begin(), answers.end(),
                            [](const Answer &answer) { return answer.completed(); }));
}

// Guards against a false answer "not run" after a broken connection: the connections to the servers
// break repeatedly after the first byte of a call was sent, and the services drop or cut calls that
// they have read. A request that is answered as not run must be in no record, and a caller whose
// top-up was booked must not get the answer that it was not run.
TEST_F(NotRunTest, ConnectionsAreCutAfterTheFirstByte)
{
    constexpr int Rounds = 8;
    TopologySpec spec = TopologySpec::small();
    spec.serversProxied = true;
    start(spec);
    Answers answers;
    for (int i = 0; i < Rounds; ++i) {
        const std::string name = "first-byte-" + std::to_string(i);
        for (const ServerSpec &server : topology().spec().servers)
            topology().proxy("server/" + server.name).set(R"({"cut_after_bytes_to_target":1})");
        for (const auto *service : { "ledger-1", "ledger-2" })
            topology().controlServer(
                service, i % 2 == 0 ? R"({"drop_next_calls":1})" : R"({"cut_next_answers":1})");
        const std::string entry = i % 2 == 0 ? "north-1" : "south-2";
        answers.push_back(call(topology().callers(entry), withDeadline(topUp(name), 2000)));
        answers.push_back(
            call(topology().callers(entry), withDeadline(completion(name, 8, false), 2000)));
    }
    expectRefusedDidNotRun(answers);
    EXPECT_TRUE(std::any_of(answers.begin(), answers.end(),
                            [](const Answer &answer) { return answer.outcome == "unknown"; }));
}

} // namespace
} // namespace snipestall::harness
