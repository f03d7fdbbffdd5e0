#pragma once

#include "ledger.hpp"

#include <string>
#include <vector>

namespace snipestall::harness {

/// The records of engines and services from the files that they write; of a killed process too.
/// Files that are not there yet count as empty.
load::Ledger readLedgerFiles(const std::vector<std::string> &files);

/// Attempts of one request that were run.
std::vector<load::LedgerAttempt> attemptsOf(const load::Ledger &ledger, const std::string &request);

/// How often a key, or a request without a key, took effect over all services.
std::int64_t runsOf(const load::Ledger &ledger, const std::string &keyOrRequest);

} // namespace snipestall::harness
