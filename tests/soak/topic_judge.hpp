#pragma once

#include "soak/judge.hpp"
#include "soak/topic.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipestall::soak {

/// Checks what is asked of a run with a topic of its own, beside the checks of Judge.
class TopicJudge
{
public:
    TopicJudge(const RunRecord &record, Topic topic);

    [[nodiscard]] std::vector<std::string> findings();
    /// What was counted, in one line.
    [[nodiscard]] const std::string &summary() const { return m_summary; }

private:
    using Check = void (TopicJudge::*)();

    void checkNothing();
    /// No request ends without an answer, or as failed, because of a silence that is shorter than
    /// the time that it has.
    void judgeSilence();
    /// No message makes a gateway grow, and requests of other callers are served.
    void judgeEndlessMessages();
    /// No message makes a gateway grow, and no request of other callers is lost.
    void judgeUnfinishedRequests();
    void judgeMemory();
    /// Each request that was sent ahead gets an answer.
    void judgeRequestsAhead();
    /// Streams go on after a kill of all gateways.
    void judgeStreamsAfterKills();
    void judgeStreamsAfterKill(const Fault &kill, std::size_t &ended, std::size_t &goneOn);
    /// Whether the connection ended without an answer once the request had been passed on, or later
    /// than a request may cross the close of its connection.
    [[nodiscard]] bool isLost(const Attempt &attempt) const;
    void addFinding(const std::string &what, const Attempt &attempt);

    const RunRecord &m_record;
    Topic m_topic;
    /// Attempts that servers ran.
    std::set<std::string> m_ran;
    std::vector<std::string> m_findings;
    std::string m_summary;
};

} // namespace snipestall::soak
