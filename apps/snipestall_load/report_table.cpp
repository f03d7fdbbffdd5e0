#include "report.hpp"

#include <iomanip>
#include <sstream>

namespace snipestall::load {

namespace {

constexpr std::size_t MaxListedViolations = 20;
constexpr int NameWidth = 16;
constexpr int NumberWidth = 10;

void printTimes(std::ostream &out, const std::string &name, const std::string &what,
                const LatencyHistogram &histogram)
{
    if (histogram.count() == 0)
        return;
    out << "  " << std::left << std::setw(NameWidth) << name << std::setw(NameWidth) << what
        << std::right << std::setw(NumberWidth) << histogram.count();
    for (const double share : { 0.5, 0.95, 0.99 }) {
        const std::chrono::duration<double, std::milli> time = histogram.percentile(share);
        out << std::setw(NumberWidth) << time.count();
    }
    out << '\n';
}

void printPhase(std::ostream &out, const PhaseReport &phase)
{
    out << phase.phase << ": " << phase.calls << " calls, " << phase.tokens << " tokens\n  ";
    for (std::size_t i = 0; i < CallOutcomes; ++i) {
        if (phase.outcomes.at(i) > 0)
            out << toString(static_cast<CallOutcome>(i)) << ' ' << phase.outcomes.at(i) << "  ";
    }
    out << "\n  refusals with Retry-After " << phase.refusalsWithTime << ", without "
        << phase.refusalsWithoutTime << "\n  come-backs " << phase.comeBacks << ", sent again "
        << phase.resends << ", rewinds " << phase.rewinds << ", not sent " << phase.notSent << '\n';
    for (const auto &[reason, count] : phase.reasons)
        out << "  " << count << " x " << reason << '\n';
}

void printViolations(std::ostream &out, const std::vector<Violation> &violations)
{
    out << "  violations " << violations.size() << '\n';
    std::size_t listed = 0;
    for (const auto &violation : violations) {
        if (listed == MaxListedViolations)
            break;
        ++listed;
        out << "    " << toString(violation.kind) << ": " << violation.detail << '\n';
    }
}

void printClasses(std::ostream &out, const Results &results, const Mix &mix)
{
    out << "  " << std::left << std::setw(NameWidth) << "class" << std::setw(NameWidth) << "time"
        << std::right << std::setw(NumberWidth) << "count" << std::setw(NumberWidth) << "p50 ms"
        << std::setw(NumberWidth) << "p95 ms" << std::setw(NumberWidth) << "p99 ms" << '\n';
    for (std::size_t i = 0; i < results.classes.size(); ++i) {
        const ClassTimes &times = results.classes[i];
        printTimes(out, mix.classes[i].name, "first token", times.firstToken);
        printTimes(out, mix.classes[i].name, "between tokens", times.betweenTokens);
        printTimes(out, mix.classes[i].name, "whole answer", times.total);
    }
    printTimes(out, "(this program)", "start lag", results.startLag);
}

void printLedger(std::ostream &out, const LedgerFindings &findings)
{
    out << "ledger: " << findings.attempts << " attempts, " << findings.repeatedAttempts
        << " repeated, " << findings.recomputedTokens << " tokens recomputed, latest attempt "
        << findings.latestAfterNoticeMs << " ms after a notice\n";
    printViolations(out, findings.violations);
}

} // namespace

std::string toTable(const Report &report, const std::vector<Results> &results, const Mix &mix)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    for (std::size_t i = 0; i < report.phases.size(); ++i) {
        printPhase(out, report.phases[i]);
        printViolations(out, report.phases[i].violations);
        printClasses(out, results[i], mix);
    }
    if (report.ledger)
        printLedger(out, *report.ledger);
    out << (report.clean() ? "clean\n" : "VIOLATIONS\n");
    return out.str();
}

} // namespace snipestall::load
