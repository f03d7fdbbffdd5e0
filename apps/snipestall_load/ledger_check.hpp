#pragma once

#include "call_record.hpp"
#include "ledger.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace snipestall::load {

/// What the comparison of callers' records and backend servers' ledger shows.
struct LedgerFindings
{
    std::vector<Violation> violations;
    std::int64_t attempts = 0;
    /// Attempts beyond the first of their request.
    std::int64_t repeatedAttempts = 0;
    /// Tokens computed that an earlier attempt of the same request had computed: prompt tokens
    /// prefilled again and answer tokens produced again.
    std::int64_t recomputedTokens = 0;
    /// Longest time after a reclaim notice at which an engine still got an attempt.
    std::int64_t latestAfterNoticeMs = 0;
};

/// Every not-run truly not run; each non-idempotent call run at most once; of one key one receipt.
LedgerFindings checkLedger(std::span<const CallRecord> records, const Ledger &ledger);

} // namespace snipestall::load
