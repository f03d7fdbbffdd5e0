#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/claim_key.hpp"
#include "snipestall/peer/claim_outcome.hpp"
#include "snipestall/platform/row.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::peer {

enum class ClaimState {
    /// The holder may send, or has sent.
    Claimed,
    /// The outcome is stored.
    Done,
    /// Its holder has given it up unsent; the next claimer may take the row over.
    Abandoned,
};

/// The value of a claim's row.
struct ClaimRow
{
    std::string request;
    std::string attempt;
    /// Unlike the attempt, chosen anew by each call of claim(): a row left behind by a claim that
    /// was given up must not be taken for a later claim of the same attempt.
    std::string token;
    std::string bodyHash;
    /// Hour bucket of the batch that wrote it; expiry leaves a row that a later hour took over.
    std::string hour;
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredOutcome> outcome;
};

/// Longest body kept for repeats. Answers to balance changes and correction notes are receipts of
/// a few hundred bytes; 64 longer ones in one transaction would pass the size that a table takes.
constexpr std::size_t MaxStoredBody = 64 * 1024;

constexpr std::string_view ClaimBatchTable = "claim-batches";

platform::RowKey claimRowKey(const ClaimKey &key);
std::string encodeClaim(const ClaimRow &row);
/// Internal if the row is damaged.
Result<ClaimRow> decodeClaim(const platform::Row &row);
/// What a row tells whoever does not hold it.
ClaimOutcome heldBy(ClaimRow row);

/// Hours since the epoch, as the first part of a batch row's key; fixed width, so that the table's
/// order is the order of time.
std::string claimHour(std::chrono::system_clock::time_point at);
platform::RowKey claimBatchKey(std::chrono::system_clock::time_point at, const std::string &batch);
std::string encodeBatch(const std::vector<platform::RowKey> &claims);
Result<std::vector<platform::RowKey>> decodeBatch(const platform::Row &row);

} // namespace snipestall::peer
