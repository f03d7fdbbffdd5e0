#include "snipestall/peer/claim_expiry.hpp"

#include "snipestall/peer/claim_context.hpp"
#include "snipestall/peer/claim_row.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::peer {

using platform::Row;
using platform::RowKey;
using platform::Transaction;

namespace {

/// Batch rows processed in one call. At low rates a batch contains one or two claims, and a call
/// for each batch would double the writes.
constexpr std::size_t MaxBatchesPerCall = 64;
/// Claims removed in one call. The limit keeps the transaction within the size that a table
/// accepts.
constexpr std::size_t MaxClaimsPerCall = 512;

/// Complete batches whose hour is older than the lifetime, oldest first.
struct ExpiredBatches
{
    /// Hours before this one are older than the lifetime.
    std::string firstKeptHour;
    std::vector<Row> batches;
    std::vector<RowKey> claims;
};

wire::Task<ExpiredBatches> findExpired(std::shared_ptr<ClaimContext> context)
{
    const std::string table(ClaimBatchTable);
    const std::string unrestricted;
    ExpiredBatches expired;
    expired.firstKeptHour = claimHour(context->clock.wallNow() - context->options.lifetime);
    const auto rows =
        co_await context->table.scan(table, unrestricted, unrestricted, MaxBatchesPerCall);
    if (!rows)
        co_return expired;
    for (const Row &batch : *rows) {
        // A damaged batch row is removed without its claims. They remain, with the only effect that
        // repeats are refused for longer.
        const auto names = decodeBatch(batch).value_or(std::vector<RowKey>());
        const bool full = expired.claims.size() + names.size() > MaxClaimsPerCall;
        const bool isKept = batch.key.key >= expired.firstKeptHour;
        if (isKept || (full && !expired.batches.empty()))
            break;
        expired.batches.push_back(batch);
        expired.claims.insert(expired.claims.end(), names.begin(), names.end());
    }
    co_return expired;
}

void remove(Transaction &transaction, const Row &row)
{
    transaction.conditions.push_back({ row.key, row.version });
    transaction.writes.push_back({ row.key, std::nullopt });
}

/// Deletes the batch rows and those of their claims that have expired too. An abandoned row that
/// was taken over later has the later hour: deleting it would allow its key to be executed a second
/// time.
Transaction removalTransaction(const ExpiredBatches &expired, const std::vector<Row> &claims)
{
    Transaction transaction;
    for (const Row &batch : expired.batches)
        remove(transaction, batch);
    for (const Row &row : claims) {
        const auto claim = decodeClaim(row);
        if (claim && claim->hour < expired.firstKeptHour)
            remove(transaction, row);
    }
    return transaction;
}

/// Two batches contain the same row if the later one took it over. The row must be read and removed
/// only once.
void removeDuplicates(std::vector<RowKey> &keys)
{
    std::ranges::sort(keys);
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
}

} // namespace

wire::Task<void> removeExpiredClaims(std::shared_ptr<ClaimContext> context)
{
    ExpiredBatches expired = co_await findExpired(context);
    if (expired.batches.empty())
        co_return;
    removeDuplicates(expired.claims);
    const auto claims = co_await context->read(expired.claims);
    if (!claims)
        co_return;
    Transaction transaction = removalTransaction(expired, *claims);
    const std::size_t removed = transaction.writes.size() - expired.batches.size();
    const auto outcome = co_await context->transact(std::move(transaction));
    // Anything but a commit is left to the next call, which begins from the rows as they are.
    if (outcome && outcome->committed)
        context->counters.rowsExpired += removed;
}

} // namespace snipestall::peer
