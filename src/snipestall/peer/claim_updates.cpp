#include "snipestall/peer/claim_updates.hpp"

#include "snipestall/peer/claim_context.hpp"
#include "snipestall/wire/spawn.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace snipestall::peer {

using platform::Row;
using platform::RowKey;
using platform::Transaction;

namespace {

/// Size of the bodies in one transaction. A table's limit for one call is commonly a few megabytes.
constexpr std::size_t MaxBodyBytes = 1024 * 1024;

/// A row's new value and the version it replaces.
struct Change
{
    std::string value;
    std::uint64_t expectedVersion = 0;
    bool isNew = false;
};

/// The row, if the attempt still holds it and no outcome is stored.
std::optional<ClaimRow> claimedBy(const std::string &attempt, const Row *row)
{
    if (row == nullptr)
        return std::nullopt;
    auto current = decodeClaim(*row);
    if (!current || current->attempt != attempt || current->state != ClaimState::Claimed)
        return std::nullopt;
    return std::move(*current);
}

std::optional<Change> storeOutcome(const ClaimUpdate &update, const Row *row)
{
    auto current = claimedBy(update.row.attempt, row);
    if (!current)
        return std::nullopt;
    current->state = ClaimState::Done;
    current->outcome = update.row.outcome;
    return Change { encodeClaim(*current), row->version, false };
}

std::optional<Change> releaseUnused(const ClaimUpdate &update, const Row *row)
{
    auto current = claimedBy(update.row.attempt, row);
    if (!current)
        return std::nullopt;
    current->state = ClaimState::Abandoned;
    return Change { encodeClaim(*current), row->version, false };
}

// A write whose answer was lost may still be in transit and reach the table later. An abandoned row
// that is inserted now makes the condition of that write fail, so the key is not left claimed
// without a holder.
std::optional<Change> abandon(const ClaimUpdate &update, const Row *row)
{
    if (row == nullptr) {
        ClaimRow marked = update.row;
        marked.state = ClaimState::Abandoned;
        return Change { encodeClaim(marked), 0, true };
    }
    auto current = decodeClaim(*row);
    if (!current || current->token != update.row.token || current->state != ClaimState::Claimed)
        return std::nullopt;
    current->state = ClaimState::Abandoned;
    return Change { encodeClaim(*current), row->version, false };
}

/// The change of the row for an update, or no value if the update has already taken effect or no
/// longer matches the row.
std::optional<Change> changeFor(const ClaimUpdate &update, const Row *row)
{
    using ChangeFunction = std::optional<Change> (*)(const ClaimUpdate &, const Row *);
    constexpr std::array<ChangeFunction, 3> ChangeFunctions { storeOutcome, abandon,
                                                              releaseUnused };
    return ChangeFunctions.at(static_cast<std::size_t>(update.kind))(update, row);
}

} // namespace

ClaimUpdates::ClaimUpdates(std::shared_ptr<ClaimContext> context)
    : m_context(std::move(context))
{ }

void ClaimUpdates::add(ClaimUpdate update)
{
    if (update.kind == ClaimUpdate::Kind::StoreOutcome)
        ++m_context->counters.outcomesPending;
    m_updates.push_back(std::move(update));
    if (std::exchange(m_running, true))
        return;
    wire::spawn(
        m_context->io, [self = shared_from_this()] { return self->run(); }, "claim-updates");
}

wire::Task<void> ClaimUpdates::run()
{
    const auto self = shared_from_this();
    int failures = 0;
    while (!m_updates.empty() && !m_context->stopped) {
        const auto window = std::max(m_context->options.updateWindow, m_context->writeDelay());
        if (failures == 0)
            co_await m_context->pauseFor(window);
        else
            co_await m_context->backOff(failures - 1);
        if (m_context->stopped)
            break;
        const bool answered = co_await runPass();
        failures = answered ? 0 : failures + 1;
    }
    m_running = false;
}

std::vector<RowKey> ClaimUpdates::nextKeys() const
{
    std::vector<RowKey> keys;
    std::size_t bytes = 0;
    for (const ClaimUpdate &update : m_updates) {
        bytes += update.row.outcome ? update.row.outcome->body.size() : 0;
        const bool full = keys.size() == m_context->options.maxBatch || bytes > MaxBodyBytes;
        const bool repeated = std::ranges::find(keys, update.rowKey) != keys.end();
        if ((full || repeated) && !keys.empty())
            break;
        keys.push_back(update.rowKey);
    }
    return keys;
}

wire::Task<bool> ClaimUpdates::runPass()
{
    std::vector<RowKey> keys = nextKeys();
    const std::size_t count = keys.size();
    const auto rows = co_await m_context->read(std::move(keys));
    if (!rows || m_context->stopped)
        co_return false;
    Transaction transaction = prepare(*rows, count);
    const std::size_t written = transaction.conditions.size();
    if (written == 0)
        co_return true;
    const auto outcome = co_await m_context->transact(std::move(transaction));
    // After a conflict or a lost answer the next pass reads the rows and finishes the updates that
    // have taken effect.
    if (outcome && outcome->committed)
        finishFirst(written);
    co_return outcome.has_value();
}

/// Returns the writes for the first `count` updates, which stay at the front of the queue. Updates
/// that have nothing left to write are finished and removed.
Transaction ClaimUpdates::prepare(const std::vector<Row> &rows, std::size_t count)
{
    const WallTime now = m_context->clock.wallNow();
    Transaction transaction;
    std::vector<RowKey> added;
    std::vector<ClaimUpdate> kept;
    for (std::size_t i = 0; i < count; ++i) {
        ClaimUpdate update = std::move(m_updates.front());
        m_updates.pop_front();
        const auto found = std::ranges::find(rows, update.rowKey, &Row::key);
        update.row.hour = claimHour(now);
        const auto change = changeFor(update, found == rows.end() ? nullptr : &*found);
        if (!change) {
            finish(update);
            continue;
        }
        if (change->isNew)
            added.push_back(update.rowKey);
        transaction.conditions.push_back({ update.rowKey, change->expectedVersion });
        transaction.writes.push_back({ update.rowKey, change->value });
        kept.push_back(std::move(update));
    }
    m_updates.insert(m_updates.begin(), kept.begin(), kept.end());
    if (!added.empty()) {
        RowKey batch = claimBatchKey(now, m_context->nextToken());
        transaction.writes.push_back({ std::move(batch), encodeBatch(added) });
    }
    return transaction;
}

void ClaimUpdates::finishFirst(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        finish(m_updates.front());
        m_updates.pop_front();
    }
}

void ClaimUpdates::finish(const ClaimUpdate &update)
{
    if (update.kind != ClaimUpdate::Kind::StoreOutcome) {
        ++m_context->counters.abandoned;
        return;
    }
    --m_context->counters.outcomesPending;
    ++m_context->counters.outcomesStored;
}

} // namespace snipestall::peer
