#pragma once

#include "call_record.hpp"
#include "ledger.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace snipestall::load {

/// Result of comparing the callers' records with the backend servers' ledger.
struct LedgerFindings
{
    std::vector<Violation> violations;
    /// Attempts that were run.
    std::int64_t attempts = 0;
    /// Attempts that were run, without the first of each request.
    std::int64_t repeatedAttempts = 0;
    /// Tokens computed although an earlier attempt of the same request had computed them: prompt
    /// tokens prefilled again and answer tokens produced again.
    std::int64_t recomputedTokens = 0;
    /// Longest time in milliseconds after a reclaim notice at which an engine still received an
    /// attempt.
    std::int64_t latestAfterNoticeMs = 0;
};

/// Checks that every request refused as not run was not run, that each non-idempotent call of a
/// plain service ran at most once, and that all answers to one idempotency key have the same
/// receipt.
LedgerFindings checkLedger(std::span<const CallRecord> records, const Ledger &ledger);

} // namespace snipestall::load
