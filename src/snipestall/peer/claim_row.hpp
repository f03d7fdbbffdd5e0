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

/// State of a stored claim.
enum class ClaimState {
    /// The holder may send the request or has sent it.
    Claimed,
    /// The outcome is stored.
    Done,
    /// The holder has given the claim up without sending the request. The next claimer may take the
    /// row over.
    Abandoned,
};

/// The value of a claim's row.
struct ClaimRow
{
    std::string request;
    std::string attempt;
    /// Unlike the attempt, it is different for each call of claim(), so that a row that was left
    /// behind by an abandoned claim is not mistaken for a later claim of the same attempt.
    std::string token;
    std::string bodyHash;
    /// Hour of the batch that wrote the row. Expiry by an earlier hour's batch row leaves a row
    /// that a later hour took over.
    std::string hour;
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredOutcome> outcome;
};

/// Longest body, in bytes, that is stored for repeats. Answers to balance changes and correction
/// notes are receipts of a few hundred bytes. 64 bodies above this limit in one transaction would
/// exceed the size that a table accepts.
constexpr std::size_t MaxStoredBody = 64 * 1024;

constexpr std::string_view ClaimBatchTable = "claim-batches";

platform::RowKey claimRowKey(const ClaimKey &key);
std::string encodeClaim(const ClaimRow &row);
/// Internal if the row is damaged.
Result<ClaimRow> decodeClaim(const platform::Row &row);
/// The outcome of a claim that is refused because another attempt holds the row.
ClaimOutcome heldBy(ClaimRow row);

/// Hours since the epoch, as the first part of a batch row's key. The width is fixed, so that the
/// table's order by key is the order of time.
std::string claimHour(std::chrono::system_clock::time_point at);
platform::RowKey claimBatchKey(std::chrono::system_clock::time_point at, const std::string &batch);
std::string encodeBatch(const std::vector<platform::RowKey> &claims);
Result<std::vector<platform::RowKey>> decodeBatch(const platform::Row &row);

} // namespace snipestall::peer
