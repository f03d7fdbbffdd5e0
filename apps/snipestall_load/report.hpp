#pragma once

#include "ledger_check.hpp"
#include "mix.hpp"
#include "results.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::load {

/// Summary of one phase, from which both forms of the report are printed.
struct PhaseReport
{
    std::string phase;
    std::uint64_t calls = 0;
    /// Number of calls by CallOutcome.
    std::array<std::uint64_t, CallOutcomes> outcomes {};
    /// Refusals with a Retry-After header.
    std::uint64_t refusalsWithTime = 0;
    /// Refusals without a Retry-After header.
    std::uint64_t refusalsWithoutTime = 0;
    std::int64_t tokens = 0;
    std::int64_t comeBacks = 0;
    std::int64_t resends = 0;
    std::int64_t rewinds = 0;
    std::uint64_t notSent = 0;
    std::vector<Violation> violations;
    /// Outcomes and error messages of calls that did not complete, with their counts; the most
    /// frequent first.
    std::vector<std::pair<std::string, std::uint64_t>> reasons;
};

/// The whole report of a run.
struct Report
{
    std::vector<PhaseReport> phases;
    /// Empty if no server's records were read.
    std::optional<LedgerFindings> ledger;

    /// True if neither a phase nor the ledger has a violation.
    [[nodiscard]] bool clean() const;
};

/// Summarises the results of one phase.
PhaseReport summarise(const Results &results);

/// The report as one line of JSON. `results` holds the phases of the report in the same order.
std::string toJson(const Report &report, const std::vector<Results> &results, const Mix &mix);
/// The report as text for a terminal.
std::string toTable(const Report &report, const std::vector<Results> &results, const Mix &mix);

} // namespace snipestall::load
