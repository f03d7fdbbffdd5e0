// Tests each check of the topics with a run that violates it and one that keeps it.

#include "soak/topic_judge.hpp"

#include "soak/topic_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace snipestall::soak {
namespace {

using namespace std::chrono_literals;

class TopicJudgeTest : public testing::Test
{
protected:
    TopicJudgeTest() { m_record.startedAt = Moment(1000s); }

    Attempt &attempt(const std::string &id, std::chrono::milliseconds sent,
                     std::chrono::milliseconds took)
    {
        Attempt made;
        made.id = id;
        made.kind = RequestKind::Idempotent;
        made.target = "/safe/plain/x";
        made.sent = m_record.startedAt + sent;
        made.ended = made.sent + took;
        made.status = 200;
        made.complete = true;
        m_record.attempts.push_back(made);
        return m_record.attempts.back();
    }

    Attempt &stream(const std::string &id, std::chrono::milliseconds sent,
                    std::chrono::milliseconds took)
    {
        Attempt &made = attempt(id, sent, took);
        made.kind = RequestKind::ResumableStream;
        made.complete = false;
        made.body = "id: 1\ndata: piece " + id + " v1\n\n";
        return made;
    }

    std::size_t findings(Topic topic) { return TopicJudge(m_record, topic).findings().size(); }

    RunRecord m_record;
};

TEST_F(TopicJudgeTest, FindsFailuresThatASilenceCaused)
{
    attempt("c1-0", 4s, 1400ms);
    attempt("c1-1", 4s, 3100ms).status = 504;
    EXPECT_EQ(findings(Topic::SilentServers), 0);
    attempt("c1-2", 4s, 900ms).status = 502;
    EXPECT_EQ(findings(Topic::SilentServers), 1);
}

TEST_F(TopicJudgeTest, FindsConnectionsThatEndWithoutAnAnswer)
{
    attempt("c1-0", 4s, 150ms).status = 0;
    EXPECT_EQ(findings(Topic::SilentServers), 0);
    m_record.runLog = "run c1-0 b1 GET /safe/plain/x\n";
    EXPECT_EQ(findings(Topic::SilentServers), 1);
    attempt("c1-1", 4s, 300ms).status = 0;
    EXPECT_EQ(findings(Topic::SilentServers), 2);
}

TEST_F(TopicJudgeTest, FindsGatewaysThatGrow)
{
    m_record.memoryGrowth = { 0, std::size_t(64) << 20U };
    EXPECT_EQ(findings(Topic::EndlessMessages), 0);
    m_record.memoryGrowth = { 0, std::size_t(65) << 20U };
    EXPECT_EQ(findings(Topic::EndlessMessages), 1);
}

TEST_F(TopicJudgeTest, FindsOtherRequestsThatMessagesWithoutEndKeepFromBeingServed)
{
    for (int i = 0; i < 40; ++i) {
        attempt("e1-" + std::to_string(i), 4s, 50ms).malformed = true;
        m_record.attempts.back().status = 400;
        attempt("c1-" + std::to_string(i), 4s, 50ms);
    }
    EXPECT_EQ(findings(Topic::EndlessMessages), 0);
    for (int i = 0; i < 3; ++i)
        attempt("c2-" + std::to_string(i), 4s, 50ms).status = 400;
    EXPECT_EQ(findings(Topic::EndlessMessages), 1);
}

TEST_F(TopicJudgeTest, FindsRequestsSentAheadWithoutAnAnswer)
{
    attempt("a1-0", 4s, 300ms).ahead = true;
    attempt("a1-1", 4s, 100ms).ahead = true;
    m_record.attempts.back().status = 0;
    EXPECT_EQ(findings(Topic::RequestsAhead), 0);
    attempt("a1-2", 4s, 300ms).ahead = true;
    m_record.attempts.back().status = 0;
    EXPECT_EQ(findings(Topic::RequestsAhead), 1);
}

TEST_F(TopicJudgeTest, FindsStreamsThatDoNotGoOnAfterAKill)
{
    m_record.faults = { { FaultKind::AllGatewaysKilled, 0, 5s, 5500ms } };
    for (int i = 0; i < 20; ++i) {
        const std::string id = "c1-" + std::to_string(i);
        stream(id, 4400ms, 620ms);
        attempt("c2-" + std::to_string(i), 5600ms, 100ms).resumes = id;
    }
    // Streams that began too late, or whose callers found no gateway, don't count.
    stream("c1-20", 4600ms, 420ms);
    attempt("c2-20", 5600ms, 100ms).resumes = "c1-20";
    m_record.attempts.back().status = 503;
    stream("c1-21", 4400ms, 620ms);
    attempt("c2-21", 5600ms, 100ms).resumes = "c1-21";
    m_record.attempts.back().status = 0;
    EXPECT_EQ(findings(Topic::StreamsAfterKills), 0);
    for (int i = 22; i < 25; ++i) {
        const std::string id = "c1-" + std::to_string(i);
        stream(id, 4400ms, 620ms);
        attempt("c2-" + std::to_string(i), 5600ms, 100ms).resumes = id;
        m_record.attempts.back().status = 503;
    }
    EXPECT_EQ(findings(Topic::StreamsAfterKills), 1);
}

// Guards against a plan in which a request waits for longer than it may: then its failure would be
// right.
TEST(TopicPlanTest, SilencesInSeriesLeaveTimeForAnAnswer)
{
    constexpr auto LongestSeries = 3200ms;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        std::vector<Fault> silences = drawTopicFaults(Topic::SilentServers, seed, 22s);
        std::erase_if(silences,
                      [](const Fault &fault) { return fault.kind != FaultKind::BackendsSilent; });
        ASSERT_FALSE(silences.empty());
        std::chrono::milliseconds from = silences.front().begin;
        for (std::size_t i = 0; i < silences.size(); ++i) {
            if (i > 0 && silences[i].begin - silences[i - 1].end > 500ms)
                from = silences[i].begin;
            EXPECT_LE(silences[i].end - from, LongestSeries) << seed;
        }
    }
}

} // namespace
} // namespace snipestall::soak
