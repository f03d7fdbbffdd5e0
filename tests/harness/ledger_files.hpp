#pragma once

#include "ledger.hpp"

#include <string>
#include <vector>

namespace snipestall::harness {

/// Reads the records that engines and services write to their files, including those of killed
/// processes. Files that do not exist yet count as empty.
load::Ledger readLedgerFiles(const std::vector<std::string> &files);

/// Returns the attempts of one request that were run, which leaves out refused ones.
std::vector<load::LedgerAttempt> attemptsOf(const load::Ledger &ledger, const std::string &request);

/// Returns how often an idempotency key, or a request without one, took effect in all services.
std::int64_t runsOf(const load::Ledger &ledger, const std::string &keyOrRequest);

} // namespace snipestall::harness
