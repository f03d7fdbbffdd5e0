#include "harness/http_call.hpp"
#include "harness/ledger_files.hpp"
#include "harness/settings_text.hpp"
#include "harness/topology_test_base.hpp"
#include "harness/wait_until.hpp"
#include "proof/caller.hpp"
#include "proof/event_text.hpp"

#include <string>

namespace snipestall::harness {
namespace {

constexpr int Tokens = 120;

/// Tests that a caller receives the complete answer to its own request and no other answer.
class WholeAnswerTest : public TopologyTest
{
protected:
    /// Returns the id of the only running request, once an engine has begun it.
    std::string waitForRunningRequest()
    {
        std::string request;
        const auto begun = [&] {
            const load::Ledger ledger = topology().ledger();
            for (const auto &[id, attempt] : ledger.attempts()) {
                if (attempt.ended == "running")
                    request = attempt.request;
            }
            return !request.empty();
        };
        EXPECT_TRUE(waitUntil(begun));
        return request;
    }

    Answer requestAnswer(const std::string &entry, const std::string &request, int last,
                         const std::string &customerKey)
    {
        auto back = customerRequest("GET", "/v1/requests/" + request + "?form=completion");
        back.fields.set("Authorization", "Bearer " + customerKey);
        back.fields.set("Accept", "text/event-stream");
        if (last >= 0)
            back.fields.set("Last-Event-ID", std::to_string(last));
        return call(topology().callers(entry), back);
    }

    /// Kills the home in the middle of a stream. The caller has read some tokens and requests the
    /// rest from another instance.
    void killHomeAndResumeAt(const std::string &entry)
    {
        TopologySpec spec = TopologySpec::small();
        spec.callersProxied = true;
        for (ServerSpec &server : spec.servers) {
            if (!server.models.empty())
                server.arguments.push_back("--token_ms=25");
        }
        start(spec);
        const std::string prompt = "a voyage whose clerk's instance dies";
        const auto before = topology().proxy("callers/north-1").counter("bytes_to_client");
        auto first = callAsync(topology().callers("north-1"), completion(prompt, Tokens, true));
        const std::string request = waitForRunningRequest();
        constexpr std::int64_t SomeTokens = 1500;
        ASSERT_TRUE(waitUntil([&] {
            const auto now = topology().proxy("callers/north-1").counter("bytes_to_client");
            return now - before > SomeTokens;
        }));
        topology().process("north-1").kill();
        EXPECT_EQ(first.get().status, 0);
        // Offsets 0 to 3 fit into the bytes that have passed through the proxy.
        constexpr int Last = 3;
        const Answer rest = requestAnswer(entry, request, Last, CustomerKey);
        EXPECT_EQ(rest.status, 200) << rest.toString();
        EXPECT_EQ(expectedText(prompt, Last + 1) + eventText(rest.body),
                  expectedText(prompt, Tokens));
        EXPECT_EQ(eventOffsets(rest.body), offsetsFrom(Last + 1, Tokens));
        const Answer whole = requestAnswer(entry, request, -1, CustomerKey);
        EXPECT_EQ(eventText(whole.body), expectedText(prompt, Tokens));
    }
};

// Guards against lost or repeated tokens when the connection between an entry instance and an
// engine breaks in the middle of a stream. The caller may notice a pause at most: every token must
// come once, in order, and belong to its own answer.
TEST_F(WholeAnswerTest, ABodyIsCutInTheMiddleOnItsWayFromTheEngine)
{
    TopologySpec spec = TopologySpec::small();
    spec.serversProxied = true;
    start(spec);
    const std::string prompt = "a review whose stream breaks";
    for (const auto *engine : { "server/engine-1", "server/engine-2", "server/engine-3" })
        topology().proxy(engine).set(R"({"cut_after_bytes_to_client":4000})");
    const Answer answer = call(topology().callers("north-1"), completion(prompt, Tokens, true));
    EXPECT_EQ(answer.status, 200) << answer.toString();
    EXPECT_EQ(eventText(answer.body), expectedText(prompt, Tokens));
    EXPECT_EQ(eventOffsets(answer.body), offsetsFrom(0, Tokens));
    const Answer again = requestAnswer("south-1", answer.request, -1, CustomerKey);
    EXPECT_EQ(eventText(again.body), expectedText(prompt, Tokens));
    EXPECT_GE(attemptsOf(topology().ledger(), answer.request).size(), 2U);
}

// Guards against the same when every connection to the engines is closed at once, for an answer
// that is not a stream: the caller must get one complete text.
TEST_F(WholeAnswerTest, AllConnectionsToTheEnginesAreCutInMidStream)
{
    TopologySpec spec = TopologySpec::small();
    spec.serversProxied = true;
    start(spec);
    const std::string prompt = "a review while the network breaks";
    auto answer = callAsync(topology().callers("north-2"), completion(prompt, Tokens, false));
    const std::string request = waitForRunningRequest();
    for (const auto *engine : { "server/engine-1", "server/engine-2", "server/engine-3" })
        topology().proxy(engine).cutAll();
    const Answer got = answer.get();
    EXPECT_EQ(got.status, 200) << got.toString();
    EXPECT_EQ(got.request, request);
    EXPECT_EQ(textOf(got), expectedText(prompt, Tokens));
    EXPECT_GE(attemptsOf(topology().ledger(), request).size(), 2U);
}

// Guards against a gap or a repeat when the home of a request is killed in the middle of a stream.
// The caller has the first four tokens and requests the rest from another instance of the data
// centre with Last-Event-ID 3.
TEST_F(WholeAnswerTest, TheHomeIsKilledAndTheCallerComesBackInItsDataCentre)
{
    killHomeAndResumeAt("north-2");
}

// Guards against the same when the balancer sends the caller to the other data centre.
TEST_F(WholeAnswerTest, TheHomeIsKilledAndTheCallerComesBackInTheOtherDataCentre)
{
    killHomeAndResumeAt("south-2");
}

// Guards against showing an answer to another customer, who has learned the id of the request and
// asks every instance for its answer, while the request runs and afterwards. The customer must not
// learn that the request exists.
TEST_F(WholeAnswerTest, AnotherCustomerAsksForTheAnswer)
{
    start(TopologySpec::small());
    const std::string prompt = "a settlement for its own master";
    auto answer = callAsync(topology().callers("north-1"), completion(prompt, Tokens, true));
    const std::string request = waitForRunningRequest();
    for (const auto *entry : { "north-1", "north-2", "south-1" })
        EXPECT_EQ(requestAnswer(entry, request, -1, OtherCustomerKey).status, 404) << entry;
    EXPECT_EQ(eventText(answer.get().body), expectedText(prompt, Tokens));
    for (const auto *entry : { "north-1", "north-2", "south-1" }) {
        EXPECT_EQ(requestAnswer(entry, request, 5, OtherCustomerKey).status, 404) << entry;
        EXPECT_EQ(requestAnswer(entry, request, -1, CustomerKey).status, 200) << entry;
    }
}

} // namespace
} // namespace snipestall::harness
