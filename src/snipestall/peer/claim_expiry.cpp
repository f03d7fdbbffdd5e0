#include "snipestall/peer/claim_expiry.hpp"

#include "snipestall/peer/claim_context.hpp"
#include "snipestall/peer/claim_row.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::peer {

using platform::Row;
using platform::RowKey;
using platform::Transaction;

namespace {

/// The oldest batch row, if its whole hour is past the lifetime.
wire::Task<std::optional<Row>> oldestExpired(std::shared_ptr<ClaimContext> context)
{
    const std::string table(ClaimBatchTable);
    const std::string all;
    const auto rows = co_await context->table.scan(table, all, all, 1);
    if (!rows || rows->empty())
        co_return std::nullopt;
    const std::string lastKept = claimHour(context->clock.wallNow() - context->options.lifetime);
    if (rows->front().key.key >= lastKept)
        co_return std::nullopt;
    co_return rows->front();
}

/// Deletes the batch's row and those claims that still belong to it. An abandoned row that was
/// taken over later carries the later hour: deleting it would let its key run a second time.
Transaction deletion(const Row &batch, const std::vector<Row> &claims)
{
    Transaction transaction;
    transaction.conditions.push_back({ batch.key, batch.version });
    transaction.writes.push_back({ batch.key, std::nullopt });
    for (const Row &row : claims) {
        const auto claim = decodeClaim(row);
        const bool belongs = claim && batch.key.key.starts_with(claim->hour + "/");
        if (!belongs)
            continue;
        transaction.conditions.push_back({ row.key, row.version });
        transaction.writes.push_back({ row.key, std::nullopt });
    }
    return transaction;
}

} // namespace

wire::Task<void> removeExpiredBatch(std::shared_ptr<ClaimContext> context)
{
    const auto batch = co_await oldestExpired(context);
    if (!batch)
        co_return;
    // A damaged batch row goes alone: its claims stay, which only refuses repeats for longer.
    std::vector<RowKey> names = decodeBatch(*batch).value_or(std::vector<RowKey>());
    const auto claims = co_await context->read(std::move(names));
    if (!claims)
        co_return;
    Transaction transaction = deletion(*batch, *claims);
    const std::size_t removed = transaction.writes.size() - 1;
    const auto outcome = co_await context->transact(std::move(transaction));
    // Anything but a commit is left to the next call, which begins from the rows as they are.
    if (outcome && outcome->committed)
        context->counters.rowsExpired += removed;
}

} // namespace snipestall::peer
