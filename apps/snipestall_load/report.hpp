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

/// Figures of one phase, counted once and printed in either form.
struct PhaseReport
{
    std::string phase;
    std::uint64_t calls = 0;
    std::array<std::uint64_t, CallOutcomes> outcomes {};
    std::uint64_t refusalsWithTime = 0;
    std::uint64_t refusalsWithoutTime = 0;
    std::int64_t tokens = 0;
    std::int64_t comeBacks = 0;
    std::int64_t resends = 0;
    std::int64_t rewinds = 0;
    std::uint64_t notSent = 0;
    std::vector<Violation> violations;
    /// Reasons of calls that did not complete, with their counts, the most frequent first.
    std::vector<std::pair<std::string, std::uint64_t>> reasons;
};

/// The whole report of a run.
struct Report
{
    std::vector<PhaseReport> phases;
    std::optional<LedgerFindings> ledger;

    /// No promise was found broken.
    [[nodiscard]] bool clean() const;
};

PhaseReport summarise(const Results &results);

std::string toJson(const Report &report, const std::vector<Results> &results, const Mix &mix);
std::string toTable(const Report &report, const std::vector<Results> &results, const Mix &mix);

} // namespace snipestall::load
