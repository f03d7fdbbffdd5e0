#include "report.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace snipestall::load {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxReasons = 8;
constexpr std::size_t MaxListedViolations = 50;

std::vector<std::pair<std::string, std::uint64_t>> countReasons(const Results &results)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto &record : results.records) {
        if (record.outcome != CallOutcome::Completed)
            ++counts[std::string(toString(record.outcome)) + ": " + record.reason];
    }
    std::vector<std::pair<std::string, std::uint64_t>> reasons(counts.begin(), counts.end());
    std::sort(reasons.begin(), reasons.end(),
              [](const auto &a, const auto &b) { return a.second > b.second; });
    if (reasons.size() > MaxReasons)
        reasons.resize(MaxReasons);
    return reasons;
}

json::object toJson(const LatencyHistogram &histogram)
{
    const auto milliseconds = [&histogram](double share) {
        return std::chrono::duration<double, std::milli>(histogram.percentile(share)).count();
    };
    json::object object;
    object["count"] = histogram.count();
    object["p50_ms"] = milliseconds(0.5);
    object["p95_ms"] = milliseconds(0.95);
    object["p99_ms"] = milliseconds(0.99);
    return object;
}

json::array toJson(const std::vector<Violation> &violations)
{
    json::array array;
    for (const auto &violation : violations) {
        if (array.size() == MaxListedViolations)
            break;
        json::object object;
        object["kind"] = toString(violation.kind);
        object["detail"] = violation.detail;
        array.push_back(std::move(object));
    }
    return array;
}

json::array classesToJson(const Results &results, const Mix &mix)
{
    json::array array;
    for (std::size_t i = 0; i < results.classes.size(); ++i) {
        json::object object;
        object["class"] = mix.classes[i].name;
        object["first_token"] = toJson(results.classes[i].firstToken);
        object["between_tokens"] = toJson(results.classes[i].betweenTokens);
        object["total"] = toJson(results.classes[i].total);
        array.push_back(std::move(object));
    }
    return array;
}

json::object toJson(const PhaseReport &phase)
{
    json::object outcomes;
    for (std::size_t i = 0; i < CallOutcomes; ++i)
        outcomes[toString(static_cast<CallOutcome>(i))] = phase.outcomes.at(i);
    json::object reasons;
    for (const auto &[reason, count] : phase.reasons)
        reasons[reason] = count;
    json::object object;
    object["phase"] = phase.phase;
    object["calls"] = phase.calls;
    object["outcomes"] = std::move(outcomes);
    object["refusals_with_time"] = phase.refusalsWithTime;
    object["refusals_without_time"] = phase.refusalsWithoutTime;
    object["tokens"] = phase.tokens;
    object["come_backs"] = phase.comeBacks;
    object["resends"] = phase.resends;
    object["rewinds"] = phase.rewinds;
    object["not_sent"] = phase.notSent;
    object["reasons"] = std::move(reasons);
    object["violation_count"] = phase.violations.size();
    object["violations"] = toJson(phase.violations);
    return object;
}

json::object toJson(const LedgerFindings &findings)
{
    json::object object;
    object["attempts"] = findings.attempts;
    object["repeated_attempts"] = findings.repeatedAttempts;
    object["recomputed_tokens"] = findings.recomputedTokens;
    object["latest_after_notice_ms"] = findings.latestAfterNoticeMs;
    object["violation_count"] = findings.violations.size();
    object["violations"] = toJson(findings.violations);
    return object;
}

} // namespace

bool Report::clean() const
{
    const bool phasesClean =
        std::all_of(phases.begin(), phases.end(),
                    [](const PhaseReport &phase) { return phase.violations.empty(); });
    return phasesClean && (!ledger || ledger->violations.empty());
}

PhaseReport summarise(const Results &results)
{
    PhaseReport report;
    report.phase = results.phase;
    report.calls = results.records.size();
    report.notSent = results.notSent;
    for (const auto &record : results.records) {
        ++report.outcomes.at(static_cast<std::size_t>(record.outcome));
        for (const auto &refusal : record.refusals)
            ++(refusal.withTime ? report.refusalsWithTime : report.refusalsWithoutTime);
        report.tokens += record.tokens;
        report.comeBacks += record.comeBacks;
        report.resends += record.resends;
        report.rewinds += record.rewinds;
        report.violations.insert(report.violations.end(), record.violations.begin(),
                                 record.violations.end());
    }
    report.reasons = countReasons(results);
    return report;
}

std::string toJson(const Report &report, const std::vector<Results> &results, const Mix &mix)
{
    json::array phases;
    for (std::size_t i = 0; i < report.phases.size(); ++i) {
        json::object phase = toJson(report.phases[i]);
        phase["classes"] = classesToJson(results[i], mix);
        phase["start_lag"] = toJson(results[i].startLag);
        phases.push_back(std::move(phase));
    }
    json::object object;
    object["clean"] = report.clean();
    object["phases"] = std::move(phases);
    if (report.ledger)
        object["ledger"] = toJson(*report.ledger);
    return json::serialize(object) + "\n";
}

} // namespace snipestall::load
