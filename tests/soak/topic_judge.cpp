#include "soak/topic_judge.hpp"

#include "soak/deployment.hpp"

#include "snipestall/wire/event_stream_parser.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace snipestall::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// A request that was sent this shortly before its connection was closed may have crossed the
/// close.
constexpr milliseconds CrossingTime { 200 };
/// A request that has failed before had enough time left for its server to answer after a silence.
constexpr milliseconds EnoughTime { 3000 };
constexpr std::size_t MaxMemoryGrowth = std::size_t(64) << 20U;
constexpr double MinServedShare = 0.95;
constexpr double MinGoneOnShare = 0.9;
constexpr std::size_t MinRequestsToJudge = 20;
constexpr std::size_t MinStreamsToJudge = 10;
/// Streams that began so long before a kill are known to all gateways.
constexpr milliseconds BegunBefore { 500 };
/// The fault plan is carried out so much later at most.
constexpr milliseconds PlanDelay { 200 };

bool lostOnPurpose(const Attempt &attempt)
{
    return attempt.target.find("lose") != std::string::npos;
}

bool hasEvents(const Attempt &attempt)
{
    wire::EventStreamParser parser;
    return !parser.feed(attempt.body).empty();
}

} // namespace

TopicJudge::TopicJudge(const RunRecord &record, Topic topic)
    : m_record(record)
    , m_topic(topic)
{
    std::istringstream log(record.runLog);
    for (std::string line; std::getline(log, line);) {
        std::istringstream words(line);
        std::string word;
        std::string attempt;
        words >> word >> attempt;
        if (word == "run")
            m_ran.insert(attempt);
    }
}

std::vector<std::string> TopicJudge::findings()
{
    static const std::map<Topic, Check> checks {
        { Topic::AllFaults, &TopicJudge::checkNothing },
        { Topic::SilentServers, &TopicJudge::judgeSilence },
        { Topic::EndlessMessages, &TopicJudge::judgeEndlessMessages },
        { Topic::RequestsAhead, &TopicJudge::judgeRequestsAhead },
        { Topic::StreamsAfterKills, &TopicJudge::judgeStreamsAfterKills },
        { Topic::UnfinishedRequests, &TopicJudge::judgeUnfinishedRequests },
    };
    (this->*checks.at(m_topic))();
    return m_findings;
}

void TopicJudge::checkNothing() { }

void TopicJudge::addFinding(const std::string &what, const Attempt &attempt)
{
    const auto at = std::chrono::duration_cast<milliseconds>(attempt.sent - m_record.startedAt);
    const auto took = std::chrono::duration_cast<milliseconds>(attempt.ended - attempt.sent);
    m_findings.push_back(attempt.id + " " + what + ": " + attempt.target + " at gateway "
                         + std::to_string(attempt.gateway) + ", sent at "
                         + std::to_string(at.count()) + " ms, took " + std::to_string(took.count())
                         + " ms, status " + std::to_string(attempt.status)
                         + (m_ran.contains(attempt.id) ? ", was run" : ", was not run"));
}

bool TopicJudge::isLost(const Attempt &attempt) const
{
    return attempt.status == 0 && !attempt.unsent
        && (m_ran.contains(attempt.id) || attempt.ended - attempt.sent > CrossingTime);
}

void TopicJudge::judgeSilence()
{
    constexpr std::array<int, 3> Failures { 500, 502, 504 };
    std::map<int, std::size_t> statuses;
    for (const Attempt &attempt : m_record.attempts) {
        if (lostOnPurpose(attempt))
            continue;
        ++statuses[attempt.status];
        if (isLost(attempt))
            addFinding("got no answer", attempt);
        if (attempt.unsent)
            addFinding("reached no gateway", attempt);
        const bool failed =
            attempt.seal.empty() && std::ranges::find(Failures, attempt.status) != Failures.end();
        if (failed && attempt.ended - attempt.sent < EnoughTime)
            addFinding("failed, though its server was only silent", attempt);
    }
    m_summary = "statuses:";
    for (const auto &[status, count] : statuses)
        m_summary += " " + std::to_string(status) + " x " + std::to_string(count);
}

void TopicJudge::judgeEndlessMessages()
{
    std::size_t asked = 0;
    std::size_t served = 0;
    std::size_t endless = 0;
    for (const Attempt &attempt : m_record.attempts) {
        endless += attempt.malformed ? 1 : 0;
        if (attempt.malformed || lostOnPurpose(attempt))
            continue;
        ++asked;
        const bool answered = attempt.complete && (attempt.status == 200 || !attempt.seal.empty());
        served += answered ? 1 : 0;
    }
    if (asked >= MinRequestsToJudge
        && static_cast<double>(served) < MinServedShare * static_cast<double>(asked))
        m_findings.push_back("only " + std::to_string(served) + " of " + std::to_string(asked)
                             + " proper requests are served beside messages without end");
    m_summary = std::to_string(served) + " of " + std::to_string(asked)
        + " proper requests served beside " + std::to_string(endless)
        + " requests that are too long; ";
    judgeMemory();
}

void TopicJudge::judgeUnfinishedRequests()
{
    std::size_t served = 0;
    for (const Attempt &attempt : m_record.attempts) {
        if (isLost(attempt) && !lostOnPurpose(attempt))
            addFinding("got no answer", attempt);
        served += attempt.status == 200 ? 1 : 0;
    }
    m_summary = std::to_string(served) + " requests served; ";
    judgeMemory();
}

void TopicJudge::judgeMemory()
{
    m_summary += "memory grew by";
    for (std::size_t i = 0; i < m_record.memoryGrowth.size(); ++i) {
        const std::size_t growth = m_record.memoryGrowth[i];
        m_summary += " " + std::to_string(growth >> 20U);
        if (growth > MaxMemoryGrowth)
            m_findings.push_back("the memory of gateway " + std::to_string(i) + " grew by "
                                 + std::to_string(growth >> 20U) + " MB");
    }
    m_summary += " MB";
}

void TopicJudge::judgeRequestsAhead()
{
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
    for (const Attempt &attempt : m_record.attempts) {
        if (!attempt.ahead || attempt.unsent)
            continue;
        ++sent;
        served += attempt.status == 200 ? 1 : 0;
        refused += attempt.status == 503 ? 1 : 0;
        if (isLost(attempt)) {
            ++lost;
            addFinding("was sent ahead and got no answer", attempt);
        }
    }
    m_summary = std::to_string(sent) + " requests sent ahead, " + std::to_string(served)
        + " served, " + std::to_string(refused) + " refused, " + std::to_string(lost)
        + " without an answer";
}

void TopicJudge::judgeStreamsAfterKills()
{
    std::size_t ended = 0;
    std::size_t goneOn = 0;
    for (const Fault &fault : m_record.faults) {
        if (fault.kind == FaultKind::AllGatewaysKilled)
            judgeStreamsAfterKill(fault, ended, goneOn);
    }
    m_summary = std::to_string(goneOn) + " of " + std::to_string(ended)
        + " streams went on after kills of all gateways";
    if (ended >= MinStreamsToJudge
        && static_cast<double>(goneOn) < MinGoneOnShare * static_cast<double>(ended))
        m_findings.push_back("only " + m_summary);
}

void TopicJudge::judgeStreamsAfterKill(const Fault &kill, std::size_t &ended, std::size_t &goneOn)
{
    const Moment killed = m_record.startedAt + kill.begin;
    for (const Attempt &began : m_record.attempts) {
        const bool counts = began.kind == RequestKind::ResumableStream && began.resumes.empty()
            && began.status == 200 && !began.complete && hasEvents(began)
            && began.sent <= killed - BegunBefore && began.ended >= killed
            && began.ended <= killed + PlanDelay;
        if (!counts)
            continue;
        const auto isAnswered = [&began](const Attempt &next) {
            return next.resumes == began.id && next.status != 0;
        };
        const auto isTakenUp = [&began](const Attempt &next) {
            return next.resumes == began.id && next.status == 200;
        };
        // A caller that found no gateway, or has stopped, says nothing.
        ended += std::ranges::any_of(m_record.attempts, isAnswered) ? 1 : 0;
        goneOn += std::ranges::any_of(m_record.attempts, isTakenUp) ? 1 : 0;
    }
}

} // namespace snipestall::soak
