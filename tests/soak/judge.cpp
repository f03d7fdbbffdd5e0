#include "soak/judge.hpp"

#include "snipestall/wire/event_stream_parser.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <sstream>

namespace snipestall::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// Longest time from the acknowledgement of a configuration until it is in force.
constexpr milliseconds ApplyLimit { 2000 };
/// Share of the requests of the quiet period that must be served.
constexpr double MinServedShare = 0.95;
/// Requests of the quiet period count from this time after the last fault.
constexpr milliseconds RecoveryTime { 6000 };
constexpr std::size_t MinRequestsToJudge = 20;

bool runsAtMostOnce(RequestKind kind)
{
    return kind == RequestKind::NonIdempotent || kind == RequestKind::NonResumableStream;
}

bool reportsNotRun(const Attempt &attempt)
{
    constexpr std::array<int, 4> Statuses { 408, 421, 429, 503 };
    return attempt.seal.empty()
        && std::find(Statuses.begin(), Statuses.end(), attempt.status) != Statuses.end();
}

} // namespace

Judge::Judge(const RunRecord &record)
    : m_record(record)
{ }

void Judge::addFinding(const Attempt &attempt, const std::string &what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(attempt.sent - m_record.startedAt);
    const auto took = std::chrono::duration_cast<milliseconds>(attempt.ended - attempt.sent);
    m_findings.push_back(what + ": " + attempt.id + " " + attempt.target + " at gateway "
                         + std::to_string(attempt.gateway) + ", sent at "
                         + std::to_string(at.count()) + " ms, took " + std::to_string(took.count())
                         + " ms, status " + std::to_string(attempt.status)
                         + (attempt.complete ? ", complete" : ", cut"));
}

bool Judge::unplannedFaultWithin(Moment from, Moment to, milliseconds margin) const
{
    return std::any_of(m_record.faults.begin(), m_record.faults.end(), [&](const Fault &fault) {
        return !isPlanned(fault.kind) && m_record.startedAt + fault.begin <= to
            && m_record.startedAt + fault.end + margin >= from;
    });
}

void Judge::readRuns()
{
    std::istringstream log(m_record.runLog);
    std::string line;
    while (std::getline(log, line)) {
        std::istringstream words(line);
        std::string word;
        std::string attempt;
        Run run;
        words >> word;
        if (word == "arrive")
            m_arrivals.push_back(readArrival(words));
        if (word == "limit")
            m_limitChanges.push_back(readLimitChange(words));
        if (word == "rest" || word == "says-it-leaves")
            m_notices.push_back(readNotice(words));
        if (word != "run")
            continue;
        std::int64_t millis = 0;
        words >> attempt >> run.server >> run.method >> run.target >> run.customer >> run.key
            >> run.bodyHash >> millis;
        run.time = Moment(milliseconds(millis));
        m_runs[attempt].push_back(std::move(run));
    }
}

std::vector<std::string> Judge::findings()
{
    readRuns();
    for (const Attempt &attempt : m_record.attempts)
        judgeAttempt(attempt);
    for (const auto &[attempt, runs] : m_runs) {
        const bool known =
            std::any_of(m_record.attempts.begin(), m_record.attempts.end(),
                        [&id = attempt](const Attempt &each) { return each.id == id; });
        if (!known)
            m_findings.push_back("a server ran what no client sent: " + attempt);
    }
    judgeVersions();
    judgeRecovery();
    judgeDuties();
    judgeRepeats();
    judgeLimits();
    judgeNotices();
    judgeCrashingPart();
    judgeOrders();
    judgeOverloadRefusals();
    for (const std::string &end : m_record.unexpectedEnds)
        m_findings.push_back(end);
    return m_findings;
}

void Judge::judgeAttempt(const Attempt &attempt)
{
    const auto found = m_runs.find(attempt.id);
    const std::vector<Run> runs = found == m_runs.end() ? std::vector<Run> {} : found->second;
    judgeRuns(attempt, runs);
    judgeAnswer(attempt, runs);
    if (isStream(attempt.kind) && attempt.status == 200)
        judgeStream(attempt);
    judgeLoss(attempt, runs);
}

void Judge::judgeRuns(const Attempt &attempt, const std::vector<Run> &runs)
{
    if (runsAtMostOnce(attempt.kind) && runs.size() > 1)
        addFinding(attempt, "ran " + std::to_string(runs.size()) + " times");
    const bool refused = attempt.seal.empty() && (attempt.status == 429 || attempt.status == 503);
    if ((refused || (runsAtMostOnce(attempt.kind) && reportsNotRun(attempt))) && !runs.empty())
        addFinding(attempt, "was said not to have run, though it had");
    for (const Run &run : runs) {
        if (refused && run.time > attempt.ended)
            addFinding(attempt, "was run after it had been refused");
        if (run.method != attempt.method || run.target != attempt.target
            || run.bodyHash != attempt.bodyHash)
            addFinding(attempt, "was run with something changed");
        if (run.customer != attempt.customer || run.key != "no-key")
            addFinding(attempt, "was run for another customer, or with the key");
    }
}

void Judge::judgeAnswer(const Attempt &attempt, const std::vector<Run> &runs)
{
    if (attempt.status == 0)
        return;
    if (!attempt.echoedId.empty() && attempt.echoedId != attempt.id)
        addFinding(attempt, "got the answer to " + attempt.echoedId);
    if (attempt.status == 200) {
        const bool sealed = std::any_of(runs.begin(), runs.end(), [&attempt](const Run &run) {
            return attempt.seal == run.server + "." + attempt.id;
        });
        if (!sealed)
            addFinding(attempt, "got a success that no server gave");
        if (attempt.complete && !isStream(attempt.kind)
            && attempt.body != "answer to " + attempt.id)
            addFinding(attempt, "got another body");
    }
    if (attempt.status == 401 || attempt.status == 403)
        addFinding(attempt, "was denied");
    if (attempt.status == 404) {
        const std::size_t number =
            attempt.kind == RequestKind::AddedRoute ? std::atoi(attempt.target.c_str() + 4) : 0;
        const bool due = attempt.kind != RequestKind::AddedRoute
            || attempt.sent > m_record.addedRoutes.at(number) + ApplyLimit;
        if (due
            && !unplannedFaultWithin(attempt.sent - ContactMargin, attempt.ended, ContactMargin))
            addFinding(attempt, "met a configuration that is no longer in force");
    }
    if (reportsNotRun(attempt) && !attempt.hasRetryAfter)
        addFinding(attempt, "was refused without a time to come back");
}

void Judge::judgeStream(const Attempt &attempt)
{
    wire::EventStreamParser parser;
    int last = attempt.after;
    bool done = false;
    for (const wire::StreamEvent &event : parser.feed(attempt.body)) {
        if (std::atoi(event.id.c_str()) != last + 1)
            addFinding(attempt, "has event " + event.id + " after " + std::to_string(last));
        last = std::atoi(event.id.c_str());
        std::istringstream words(event.data);
        std::string word;
        std::string stream;
        std::string version;
        words >> word >> stream >> version;
        done = word == "done";
        if ((!done && word != "piece") || stream != attempt.stream())
            addFinding(attempt, "has an event of another answer");
        m_streamVersions[attempt.stream()].insert(version);
    }
    if (done)
        m_lastEvents[attempt.stream()] = last;
    // The client may have received the last event before the stream broke off; the rest that it
    // takes up has no events then.
    const auto known = m_lastEvents.find(attempt.stream());
    const bool hadAll =
        last == attempt.after && known != m_lastEvents.end() && known->second == attempt.after;
    if (attempt.complete && !done && !hadAll)
        addFinding(attempt, "ended as complete before its last event");
}

void Judge::judgeVersions()
{
    for (const auto &[stream, versions] : m_streamVersions) {
        if (versions.size() <= 1)
            continue;
        std::string names;
        for (const std::string &version : versions)
            names += " " + version;
        m_findings.push_back("the stream that " + stream + " began holds events of versions"
                             + names);
    }
}

void Judge::judgeLoss(const Attempt &attempt, const std::vector<Run> &runs)
{
    // A gateway may break off what is too long at any time.
    if (attempt.malformed || unplannedFaultWithin(attempt.sent, attempt.ended, ContactMargin))
        return;
    const bool provoked = attempt.target.find("lose") != std::string::npos;
    if (!attempt.complete && !runs.empty() && !provoked)
        addFinding(attempt, "lost its answer though nothing but planned work went on");
    if (attempt.ended - attempt.sent > 5s)
        addFinding(attempt, "stayed unanswered beyond its route's time");
}

Judge::Arrival Judge::readArrival(std::istream &words)
{
    Arrival arrival;
    std::int64_t millis = 0;
    words >> arrival.attempt >> arrival.server >> arrival.service >> millis;
    arrival.time = Moment(milliseconds(millis));
    return arrival;
}

Judge::Notice Judge::readNotice(std::istream &words)
{
    Notice notice;
    std::int64_t millis = 0;
    double seconds = 0;
    words >> notice.attempt >> notice.server >> millis;
    notice.time = Moment(milliseconds(millis));
    if (words >> seconds)
        notice.rest = milliseconds(static_cast<std::int64_t>(seconds * 1000));
    return notice;
}

Judge::LimitChange Judge::readLimitChange(std::istream &words)
{
    LimitChange change;
    std::int64_t millis = 0;
    std::string limit;
    words >> change.server >> millis >> limit;
    change.time = Moment(milliseconds(millis));
    change.named = !limit.empty();
    return change;
}

void Judge::forEachEvent(const std::string &name,
                         const std::function<void(const boost::json::value &)> &handle) const
{
    std::istringstream log(m_record.gatewayLog);
    for (std::string line; std::getline(log, line);) {
        if (line.find('"' + name + '"') == std::string::npos)
            continue;
        // The end of a line is missing where its gateway was killed.
        boost::system::error_code error;
        const boost::json::value event = boost::json::parse(line, error);
        if (!error)
            handle(event);
    }
}

void Judge::judgeOverloadRefusals()
{
    namespace json = boost::json;
    std::map<std::string, const Attempt *> attempts;
    for (const Attempt &attempt : m_record.attempts)
        attempts[attempt.id] = &attempt;
    forEachEvent("overload-refused", [&](const json::value &event) {
        const std::string id(event.at("attempt").as_string());
        const std::string retryAfter(event.at("retry_after_ms").as_string());
        if (const auto found = attempts.find(id); found == attempts.end())
            m_findings.push_back("a gateway refused by load what no client sent: " + id);
        else
            judgeOverloadRefusal(*found->second, milliseconds(std::atoll(retryAfter.c_str())));
    });
}

void Judge::judgeOverloadRefusal(const Attempt &attempt, milliseconds retryAfter)
{
    // Its caller may have lost the answer, so this is not the check of what callers were told.
    if (m_runs.contains(attempt.id))
        addFinding(attempt, "was run, though a gateway had refused it by load");
    if (attempt.status == 0)
        return;
    if (attempt.status != 503)
        addFinding(attempt, "was refused by load with another status");
    else if (attempt.retryAfter.count() <= 0 || attempt.retryAfter != retryAfter)
        addFinding(attempt,
                   "was refused by load without the Retry-After of the log, "
                       + std::to_string(retryAfter.count()) + " ms");
}

void Judge::judgeRecovery()
{
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const Attempt &attempt : m_record.attempts) {
        const bool late = attempt.sent >= m_record.startedAt + m_record.quietFrom + RecoveryTime;
        if (!late || attempt.crashing || attempt.target.find("plain") == std::string::npos)
            continue;
        ++asked;
        served += attempt.status == 200 && attempt.complete ? 1 : 0;
    }
    if (asked >= MinRequestsToJudge
        && static_cast<double>(served) < MinServedShare * static_cast<double>(asked))
        m_findings.push_back("only " + std::to_string(served) + " of " + std::to_string(asked)
                             + " requests are served when all faults are over");
}

void Judge::judgeDuties()
{
    namespace json = boost::json;
    std::map<std::string, std::string> reported;
    std::map<std::string, std::string> holders;
    std::int64_t highest = 0;
    std::istringstream log(m_record.dutyLog);
    std::string call;
    std::string holder;
    std::string fence;
    std::string body;
    while (log >> call >> holder >> fence && std::getline(log, body)) {
        const auto known = holders.try_emplace(fence, holder);
        if (known.first->second != holder)
            m_findings.push_back("two instances act under the number " + fence + ": "
                                 + known.first->second + ", " + holder);
        const std::int64_t number = std::atoll(fence.c_str());
        if (number < highest)
            m_findings.push_back(holder + " acts under the fencing token " + fence + " after "
                                 + std::to_string(highest));
        highest = std::max(highest, number);
        const json::object report = json::parse(body).get_object();
        if (call != "/usage")
            continue;
        const std::string window = json::serialize(report.at("windowSeq"));
        const std::string counts = json::serialize(report.at("counts"));
        const auto before = reported.try_emplace(window, counts);
        if (before.first->second != counts)
            m_findings.push_back("window " + window + " is reported as " + before.first->second
                                 + " and as " + counts);
    }
}

} // namespace snipestall::soak
