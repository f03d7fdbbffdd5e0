// Tests each check of the judge with a run that violates its guarantee and one that keeps it.

#include "soak/judge.hpp"

#include <gtest/gtest.h>

#include <string>

namespace snipestall::soak {
namespace {

using namespace std::chrono_literals;
using testing::Test;

class JudgeTest : public Test
{
protected:
    JudgeTest() { m_record.startedAt = Moment(1000s); }

    Attempt &attempt(RequestKind kind, const std::string &target)
    {
        Attempt made;
        made.id = "c1-0";
        made.kind = kind;
        made.method = "POST";
        made.target = target;
        made.bodyHash = 5;
        made.sent = m_record.startedAt + 4s;
        made.ended = made.sent + 50ms;
        made.status = 200;
        made.complete = true;
        made.seal = "b1.c1-0";
        made.echoedId = "c1-0";
        made.body = "answer to c1-0";
        m_record.attempts.push_back(made);
        return m_record.attempts.back();
    }

    void ran(const std::string &server, const std::string &target,
             const std::string &rest = "harbour no-key 5")
    {
        m_record.runLog += "run c1-0 " + server + " POST " + target + " " + rest + "\n";
    }

    /// Returns the findings in one line; empty if there are none.
    std::string findings()
    {
        std::string all;
        for (const std::string &finding : Judge(m_record).findings())
            all += finding + "; ";
        return all;
    }

    bool finds(const std::string &text) { return findings().find(text) != std::string::npos; }

    RunRecord m_record;
};

TEST_F(JudgeTest, AnOrdinaryRunHasNoFindings)
{
    attempt(RequestKind::NonIdempotent, "/once/plain/x");
    ran("b1", "/once/plain/x");
    EXPECT_EQ(findings(), "");
}

TEST_F(JudgeTest, FindsARequestThatRanTwice)
{
    attempt(RequestKind::NonIdempotent, "/once/plain/x");
    ran("b1", "/once/plain/x");
    ran("b2", "/once/plain/x");
    EXPECT_TRUE(finds("ran 2 times"));
}

TEST_F(JudgeTest, FindsARunRequestReportedAsNotRun)
{
    Attempt &refused = attempt(RequestKind::NonIdempotent, "/once/plain/x");
    refused.status = 503;
    refused.seal.clear();
    refused.hasRetryAfter = true;
    EXPECT_EQ(findings(), "");
    ran("b1", "/once/plain/x");
    EXPECT_TRUE(finds("was said not to have run"));
}

// Guards against a repeatable request that callers repeat although its first copy has run or still
// waits at an engine.
TEST_F(JudgeTest, FindsARepeatableRequestThatRunsThoughItWasRefused)
{
    for (const int status : { 429, 503 }) {
        m_record.attempts.clear();
        Attempt &refused = attempt(RequestKind::Idempotent, "/safe/plain/x");
        refused.status = status;
        refused.seal.clear();
        refused.hasRetryAfter = true;
        m_record.runLog.clear();
        EXPECT_EQ(findings(), "");
        ran("b1", "/safe/plain/x", "harbour no-key 5 1004040");
        EXPECT_TRUE(finds("was said not to have run"));
        EXPECT_FALSE(finds("after it had been refused"));
        ran("b1", "/safe/plain/x", "harbour no-key 5 1004051");
        EXPECT_TRUE(finds("was run after it had been refused"));
    }
}

class OverloadJudgeTest : public JudgeTest
{
protected:
    OverloadJudgeTest()
    {
        m_refused = &attempt(RequestKind::ResumableStream, "/stream/plain/events");
        m_refused->status = 503;
        m_refused->seal.clear();
        m_refused->hasRetryAfter = true;
        m_refused->retryAfter = 240ms;
        m_record.gatewayLog = R"({"event":928,"name":"overload-refused","attempt":"c1-0",)"
                              R"("retry_after_ms":"240"})"
                              "\n{\"name\":\"overload-refused\",\"att\n";
    }

    Attempt *m_refused = nullptr;
};

// Guards against refusals by load after which callers come back at a wrong time, or all at once.
TEST_F(OverloadJudgeTest, FindsARefusalByLoadWithoutItsRetryAfter)
{
    EXPECT_EQ(findings(), "");
    m_refused->retryAfter = 1000ms;
    EXPECT_TRUE(finds("without the Retry-After of the log, 240 ms"));
    m_refused->hasRetryAfter = false;
    m_refused->retryAfter = 0ms;
    EXPECT_TRUE(finds("without the Retry-After of the log, 240 ms"));
    EXPECT_TRUE(finds("was refused without a time to come back"));
    m_refused->status = 502;
    EXPECT_TRUE(finds("refused by load with another status"));
}

// Guards against a run of a request that a gateway has refused, where the caller lost the answer
// and so can't tell.
TEST_F(OverloadJudgeTest, FindsARunOfARequestRefusedByLoadWhoseAnswerWasLost)
{
    m_refused->status = 0;
    m_refused->complete = false;
    EXPECT_EQ(findings(), "");
    ran("b1", "/stream/plain/events");
    EXPECT_TRUE(finds("though a gateway had refused it by load"));
    m_record.attempts.clear();
    EXPECT_TRUE(finds("refused by load what no client sent: c1-0"));
}

TEST_F(JudgeTest, FindsChangedRequestsAndTheKey)
{
    attempt(RequestKind::NonIdempotent, "/once/plain/x");
    ran("b1", "/once/other/x");
    EXPECT_TRUE(finds("something changed"));
    m_record.runLog.clear();
    ran("b1", "/once/plain/x", "harbour key 5");
    EXPECT_TRUE(finds("with the key"));
}

TEST_F(JudgeTest, FindsARunThatNoClientSent)
{
    m_record.runLog = "run c9-9 b1 POST /once/plain/x harbour no-key 5\n";
    EXPECT_TRUE(finds("no client sent: c9-9"));
}

TEST_F(JudgeTest, FindsAnotherAnswerAndOneThatNoServerGave)
{
    Attempt &mixed = attempt(RequestKind::Idempotent, "/safe/plain/x");
    ran("b1", "/safe/plain/x");
    mixed.body = "answer to c1-1";
    EXPECT_TRUE(finds("another body"));
    mixed.echoedId = "c1-1";
    EXPECT_TRUE(finds("got the answer to c1-1"));
    mixed.seal = "b7.c1-0";
    EXPECT_TRUE(finds("no server gave"));
}

TEST_F(JudgeTest, FindsStreamsWithGapsRepeatsAndFalseEnds)
{
    Attempt &stream = attempt(RequestKind::ResumableStream, "/stream/plain/events");
    ran("b1", "/stream/plain/events");
    stream.body = "id: 1\ndata: piece c1-0 v1\n\nid: 2\ndata: done c1-0 v1\n\n";
    EXPECT_EQ(findings(), "");
    stream.body = "id: 1\ndata: piece c1-0 v1\n\nid: 3\ndata: done c1-0 v1\n\n";
    EXPECT_TRUE(finds("has event 3 after 1"));
    stream.body = "id: 1\ndata: piece c1-0 v1\n\n";
    EXPECT_TRUE(finds("complete before its last event"));
    stream.body = "id: 1\ndata: done c1-7\n\n";
    EXPECT_TRUE(finds("event of another answer"));
}

TEST_F(JudgeTest, FindsStreamsOfTwoVersions)
{
    Attempt &first = attempt(RequestKind::ResumableStream, "/stream/plain/events");
    first.complete = false;
    first.body = "id: 1\ndata: piece c1-0 v1\n\n";
    ran("b1", "/stream/plain/events");
    Attempt rest = first;
    rest.id = "c1-1";
    rest.resumes = "c1-0";
    rest.after = 1;
    rest.complete = true;
    rest.seal = "b1.c1-1";
    rest.echoedId = "c1-1";
    rest.body = "id: 2\ndata: done c1-0 v1\n\n";
    m_record.attempts.push_back(rest);
    m_record.runLog += "run c1-1 b1 POST /stream/plain/events harbour no-key 5\n";
    EXPECT_FALSE(finds("of versions"));
    m_record.attempts.back().body = "id: 2\ndata: done c1-0 v2\n\n";
    EXPECT_TRUE(finds("holds events of versions v1 v2"));
    m_record.attempts.back().body = "id: 3\ndata: done c1-0 v1\n\n";
    EXPECT_TRUE(finds("has event 3 after 1"));
}

// A stream broke off after its last event: the rest that its client takes up has no events. The
// same is a false end where the client lacks the last event.
TEST_F(JudgeTest, TheEmptyRestOfAStreamIsRightOnlyAfterItsLastEvent)
{
    for (const bool hadAll : { true, false }) {
        m_record.attempts.clear();
        Attempt &begun = attempt(RequestKind::ResumableStream, "/stream/plain/events");
        begun.complete = false;
        begun.body = "id: 1\ndata: piece c1-0 v1\n\nid: 2\ndata: "
            + std::string(hadAll ? "done" : "piece") + " c1-0 v1\n\n";
        Attempt &rest = attempt(RequestKind::ResumableStream, "/stream/plain/events");
        rest.id = "c1-1";
        rest.echoedId = "c1-1";
        rest.seal = "b1.c1-1";
        rest.resumes = "c1-0";
        rest.after = 2;
        rest.body.clear();
        EXPECT_EQ(finds("ended as complete before its last event"), !hadAll);
    }
}

TEST_F(JudgeTest, FindsAnAnswerLostToPlannedWorkOnly)
{
    Attempt &cut = attempt(RequestKind::NonIdempotent, "/once/plain/x");
    ran("b1", "/once/plain/x");
    cut.complete = false;
    m_record.faults.push_back({ FaultKind::GatewayStopped, 0, 3500ms, 12000ms });
    EXPECT_TRUE(finds("lost its answer"));
    m_record.faults.push_back({ FaultKind::GatewayKilled, 0, 3800ms, 4500ms });
    EXPECT_FALSE(finds("lost its answer"));
}

TEST_F(JudgeTest, FindsAnOldConfiguration)
{
    Attempt &old = attempt(RequestKind::AddedRoute, "/new0/plain/x");
    old.status = 404;
    m_record.addedRoutes = { m_record.startedAt + 3s };
    EXPECT_EQ(findings(), "");
    m_record.addedRoutes = { m_record.startedAt + 1s };
    EXPECT_TRUE(finds("no longer in force"));
}

TEST_F(JudgeTest, FindsDenialsAndRefusalsWithoutRetryAfter)
{
    Attempt &refused = attempt(RequestKind::Idempotent, "/safe/plain/x");
    refused.status = 429;
    refused.seal.clear();
    EXPECT_TRUE(finds("without a time to come back"));
    refused.status = 401;
    EXPECT_TRUE(finds("was denied"));
}

TEST_F(JudgeTest, FindsThatServiceDoesNotRecover)
{
    m_record.quietFrom = 1s;
    for (int i = 0; i < 40; ++i) {
        Attempt &late = attempt(RequestKind::Idempotent, "/safe/plain/x");
        late.sent = m_record.startedAt + 9s;
        late.ended = late.sent + 10ms;
        late.status = i < 20 ? 200 : 503;
        late.hasRetryAfter = true;
        if (i >= 20)
            late.seal.clear();
    }
    ran("b1", "/safe/plain/x");
    EXPECT_TRUE(finds("only 20 of 40"));
}

TEST_F(JudgeTest, FindsTwoHoldersAndTwoReportsOfOneWindow)
{
    m_record.dutyLog = "/usage edge-0 3 {\"windowSeq\":5,\"counts\":{\"harbour\":7}}\n"
                       "/usage edge-0 3 {\"windowSeq\":5,\"counts\":{\"harbour\":7}}\n";
    EXPECT_EQ(findings(), "");
    m_record.dutyLog += "/usage edge-1 4 {\"windowSeq\":5,\"counts\":{\"harbour\":8}}\n";
    EXPECT_TRUE(finds("is reported as"));
    m_record.dutyLog += "/usage edge-0 3 {\"windowSeq\":6,\"counts\":{}}\n";
    EXPECT_TRUE(finds("after 4"));
    m_record.dutyLog += "/usage edge-2 4 {\"windowSeq\":7,\"counts\":{}}\n";
    EXPECT_TRUE(finds("two instances act under the number 4"));
}

TEST(FaultPlan, TheSameSeedDrawsTheSameFaultsAndNoneInTheQuietEnd)
{
    const auto first = drawFaults(11, 18s, true);
    const auto second = drawFaults(11, 18s, true);
    ASSERT_EQ(first.size(), second.size());
    ASSERT_FALSE(first.empty());
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].kind, second[i].kind);
        EXPECT_EQ(first[i].begin, second[i].begin);
        // What a server asks for in its answers is to be heeded while nothing else goes wrong.
        const FaultKind kind = first[i].kind;
        if (kind == FaultKind::BackendNamesLimit)
            EXPECT_EQ(first[i].begin, 18s);
        else if (kind == FaultKind::BackendAsksForRest || kind == FaultKind::BackendSaysItLeaves)
            EXPECT_EQ(first[i].begin, 21s);
        else
            EXPECT_LE(first[i].end, 18s);
    }
}

// Guards against a run in which a part of prompts ends server after server and nobody notices.
TEST_F(JudgeTest, RequestsWithACrashingPartThatComeTooLateAreFound)
{
    constexpr int Ends = 5;
    for (int i = 0; i < Ends + 4; ++i) {
        Attempt attempt;
        attempt.id = "crash-" + std::to_string(i);
        attempt.crashing = true;
        m_record.attempts.push_back(attempt);
        const int millis = 1000000 + i * 100 + (i < Ends ? 0 : 4000);
        m_record.runLog += "arrive " + attempt.id + " b1 lm " + std::to_string(millis) + "\n";
        EXPECT_EQ(finds("part that ends servers"), i == Ends + 3);
    }
}

// Guards against a run in which servers get more repeats than allowed and nobody notices, because
// each instance keeps to its own part.
TEST_F(JudgeTest, RepeatsBeyondTheLimitAreFound)
{
    for (int i = 0; i < 62; ++i)
        m_record.runLog += "arrive c1-0 b1 ledger " + std::to_string(1000000 + i) + "\n";
    EXPECT_TRUE(finds("got 61 repeats"));
}

TEST_F(JudgeTest, RepeatsWithinTheLimitAreNotFound)
{
    for (int i = 0; i < 61; ++i)
        m_record.runLog += "arrive c1-0 b1 ledger " + std::to_string(1000000 + i) + "\n";
    EXPECT_FALSE(finds("repeats"));
}

// Guards against a run in which a server gets more requests than its limit and nobody notices.
TEST_F(JudgeTest, RequestsBeyondANamedLimitAreFound)
{
    m_record.runLog += "limit b1 1000000 1\n";
    for (int i = 0; i < 12; ++i)
        m_record.runLog +=
            "arrive c1-" + std::to_string(i) + " b1 ledger " + std::to_string(1003100 + i) + "\n";
    EXPECT_TRUE(finds("had named a limit and got 12"));
    m_record.faults = { { FaultKind::GatewayKilled, 0, 1s, 2s } };
    EXPECT_FALSE(finds("had named a limit"));
}

// Guards against a run in which a server gets requests during its rest, or after it has said that
// it leaves, and nobody notices. Requests of other instances do not count.
TEST_F(JudgeTest, RequestsAgainstTheNoticeOfAServerAreFound)
{
    for (const bool leaves : { false, true }) {
        m_record.attempts.clear();
        m_record.runLog = leaves ? "says-it-leaves c1-0 b1 1004010\n" : "rest c1-0 b1 1004010 3\n";
        attempt(RequestKind::Idempotent, "/x");
        for (int i = 1; i <= 4; ++i) {
            Attempt &later = attempt(RequestKind::Idempotent, "/x");
            later.id = "c1-" + std::to_string(i);
            later.gateway = i == 4 ? 1 : 0;
            later.sent += leaves ? 2100ms : 1000ms;
            const std::string at = leaves ? "1006110" : "1005010";
            m_record.runLog += "arrive " + later.id + " b1 ledger " + at + "\n";
        }
        EXPECT_TRUE(finds("got 3 requests from gateway 0 after c1-0")) << leaves;
        m_record.faults = { { FaultKind::GatewayPaused, 0, 4s, 5s } };
        EXPECT_FALSE(finds("requests from gateway")) << leaves;
        m_record.faults.clear();
    }
}

class VersionOrderJudgeTest : public JudgeTest
{
protected:
    VersionOrderJudgeTest()
    {
        VersionOrder order;
        order.service = "lm";
        order.isBad = true;
        order.accepted = true;
        order.orderedAt = m_record.startedAt;
        order.state = "rolled_back";
        order.endedAt = m_record.startedAt + 2s;
        m_record.versionOrders = { order };
    }

    /// `count` requests of the service reach `server`, the first one `after` the start of the run.
    void arrive(const std::string &server, int count, std::chrono::milliseconds after)
    {
        const auto begin = std::chrono::duration_cast<std::chrono::milliseconds>(
                               m_record.startedAt.time_since_epoch() + after)
                               .count();
        for (int i = 0; i < count; ++i)
            m_record.runLog += "arrive " + server + std::to_string(i) + " " + server + " lm "
                + std::to_string(begin + i) + "\n";
    }
};

// Guards against a run in which a bad version gets more requests than allowed and nobody notices.
TEST_F(VersionOrderJudgeTest, RequestsBeyondTheLimitOfABadVersionAreFound)
{
    arrive("b4-1", 100, 1s);
    arrive("new-9-1", 170, 1s);
    EXPECT_FALSE(finds("a bad version of lm got"));
    arrive("new-9-2", 20, 1s);
    EXPECT_TRUE(finds("a bad version of lm got 190 of 290"));
    m_record.versionOrders[0].isBad = false;
    EXPECT_FALSE(finds("a bad version of lm got"));
}

// Guards against a run in which a version goes on getting requests after it was turned away.
TEST_F(VersionOrderJudgeTest, RequestsAfterTheRollBackAreFound)
{
    arrive("new-9-1", 1, 4900ms);
    EXPECT_EQ(findings(), "");
    arrive("new-9-2", 1, 5000ms);
    EXPECT_TRUE(finds("that was turned away got 1 requests later"));
}

// Guards against a run in which a bad version takes all requests and nobody notices.
TEST_F(VersionOrderJudgeTest, ACompletedBadVersionIsFound)
{
    m_record.versionOrders[0].state = "completed";
    EXPECT_TRUE(finds("a bad version of lm was completed"));
    m_record.versionOrders[0].isBad = false;
    EXPECT_FALSE(finds("was completed"));
}

} // namespace
} // namespace snipestall::soak
