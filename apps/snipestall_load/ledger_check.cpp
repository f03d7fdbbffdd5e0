#include "ledger_check.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace snipestall::load {

namespace {

/// IDs of the requests that were run, wholly or in part.
std::set<std::string> executedRequests(const Ledger &ledger)
{
    std::set<std::string> run;
    for (const auto &[id, attempt] : ledger.attempts()) {
        if (attempt.ended != "refused")
            run.insert(attempt.request);
    }
    for (const auto &entry : ledger.runs())
        run.insert(entry.request);
    run.erase("");
    return run;
}

void checkRefusals(std::span<const CallRecord> records, const Ledger &ledger,
                   std::vector<Violation> &violations)
{
    const std::set<std::string> run = executedRequests(ledger);
    for (const auto &record : records) {
        for (const auto &refusal : record.refusals) {
            if (run.contains(refusal.request))
                violations.push_back(
                    { ViolationKind::FalseNotRun,
                      "request " + refusal.request + " was refused as not run, but was run" });
        }
    }
}

void checkRunCounts(std::span<const CallRecord> records, const Ledger &ledger,
                    std::vector<Violation> &violations)
{
    std::map<std::string, std::int64_t> counts;
    for (const auto &run : ledger.runs())
        counts[run.key.empty() ? run.request : run.key] += run.count;
    std::set<std::string> reported;
    for (const auto &record : records) {
        const std::string &name =
            record.idempotencyKey.empty() ? record.request : record.idempotencyKey;
        if (record.idempotent || !record.service || name.empty())
            continue;
        const auto found = counts.find(name);
        const bool doubled = found != counts.end() && found->second > 1;
        if (doubled && reported.insert(name).second)
            violations.push_back({ ViolationKind::Doubled,
                                   name + " ran " + std::to_string(found->second) + " times" });
    }
}

void checkReceipts(std::span<const CallRecord> records, std::vector<Violation> &violations)
{
    std::map<std::string, std::string> receipts;
    for (const auto &record : records) {
        if (record.receipt.empty() || record.idempotencyKey.empty())
            continue;
        const auto [known, inserted] = receipts.try_emplace(record.idempotencyKey, record.receipt);
        if (!inserted && known->second != record.receipt)
            violations.push_back({ ViolationKind::Doubled,
                                   record.idempotencyKey + " has two receipts: " + known->second
                                       + " and " + record.receipt });
    }
}

void countAttempts(const Ledger &ledger, LedgerFindings &findings)
{
    std::map<std::string, std::vector<const LedgerAttempt *>> byRequest;
    for (const auto &[id, attempt] : ledger.attempts()) {
        findings.latestAfterNoticeMs =
            std::max(findings.latestAfterNoticeMs, attempt.afterNoticeMs.value_or(0));
        if (attempt.ended == "refused")
            continue;
        ++findings.attempts;
        byRequest[attempt.request].push_back(&attempt);
    }
    for (auto &[request, attempts] : byRequest) {
        std::sort(attempts.begin(), attempts.end(),
                  [](const auto *a, const auto *b) { return a->from < b->from; });
        findings.repeatedAttempts += static_cast<std::int64_t>(attempts.size()) - 1;
        std::int64_t reached = 0;
        for (const auto *attempt : attempts) {
            const bool first = attempt == attempts.front();
            findings.recomputedTokens += first ? 0 : attempt->prefilled;
            const std::int64_t end = attempt->from + attempt->produced;
            findings.recomputedTokens +=
                std::max<std::int64_t>(std::min(reached, end) - attempt->from, 0);
            reached = std::max(reached, end);
        }
    }
}

} // namespace

LedgerFindings checkLedger(std::span<const CallRecord> records, const Ledger &ledger)
{
    LedgerFindings findings;
    checkRefusals(records, ledger, findings.violations);
    checkRunCounts(records, ledger, findings.violations);
    checkReceipts(records, findings.violations);
    countAttempts(ledger, findings);
    return findings;
}

} // namespace snipestall::load
