#include "snipestall/peer/claim_batch.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/peer/claim_context.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::peer {

using platform::Row;
using platform::RowKey;
using platform::Transaction;

namespace {

const Row *findRow(const std::vector<Row> &rows, const RowKey &key)
{
    const auto found = std::ranges::find(rows, key, &Row::key);
    return found == rows.end() ? nullptr : &*found;
}

ClaimOutcome granted()
{
    ClaimOutcome outcome;
    outcome.verdict = ClaimVerdict::Granted;
    return outcome;
}

} // namespace

ClaimBatch::ClaimBatch(std::shared_ptr<ClaimContext> context, std::vector<PendingClaimPtr> claims,
                       DropHandler onDropped)
    : m_context(std::move(context))
    , m_claims(std::move(claims))
    , m_onDropped(std::move(onDropped))
    , m_mustRead(std::ranges::any_of(m_claims, &PendingClaim::readFirst))
{ }

wire::Task<void> ClaimBatch::run()
{
    while (true) {
        // The coroutine does not suspend between this and the write of the same round, so no claim
        // is written after its caller was answered that it is not.
        dropExpired();
        if (m_claims.empty() || m_context->stopped)
            co_return;
        const int failuresBefore = m_failures;
        if (m_mustRead)
            co_await readBack();
        else
            co_await write();
        removeSettled();
        if (m_failures > failuresBefore && !m_claims.empty())
            co_await m_context->backOff(m_failures - 1);
    }
}

void ClaimBatch::dropExpired()
{
    const SteadyTime now = m_context->clock.steadyNow();
    const auto isExpired = [now](const PendingClaimPtr &claim) {
        return claim->givenUp || now >= claim->request.deadline;
    };
    const auto firstExpired = std::stable_partition(
        m_claims.begin(), m_claims.end(), [&](const auto &claim) { return !isExpired(claim); });
    const std::vector<PendingClaimPtr> expired(firstExpired, m_claims.end());
    m_claims.erase(firstExpired, m_claims.end());
    for (const PendingClaimPtr &claim : expired) {
        claim->finished = true;
        m_onDropped(claim, claim->mayBeWritten);
    }
}

wire::Task<void> ClaimBatch::readBack()
{
    std::vector<RowKey> keys;
    for (const PendingClaimPtr &claim : m_claims)
        keys.push_back(claim->rowKey);
    const auto rows = co_await m_context->read(std::move(keys));
    if (!rows) {
        ++m_failures;
        co_return;
    }
    m_mustRead = false;
    for (const PendingClaimPtr &claim : m_claims)
        settleFromRow(claim, findRow(*rows, claim->rowKey));
    if (std::exchange(m_answerLost, false)) {
        ++m_context->counters.settledByReading;
        logEvent(events::OutcomeSettled, { { "claims", std::to_string(m_claims.size()) } });
    }
}

wire::Task<void> ClaimBatch::write()
{
    Transaction claims = nextTransaction();
    const auto outcome = co_await m_context->transact(std::move(claims));
    if (!outcome) {
        ++m_failures;
        const bool noEffect = outcome.error().kind == ErrorKind::Unavailable;
        if (noEffect)
            co_return;
        for (const PendingClaimPtr &claim : m_claims)
            claim->mayBeWritten = true;
        m_mustRead = true;
        m_answerLost = true;
        co_return;
    }
    if (!outcome->committed) {
        settleConflicts(outcome->conflicts);
        co_return;
    }
    for (const PendingClaimPtr &claim : m_claims)
        settle(claim, granted());
}

void ClaimBatch::settleConflicts(const std::vector<Row> &conflicts)
{
    // If no conflict names one of the claims, another write would fail in the same way, so the next
    // round reads the rows.
    m_mustRead = true;
    for (const PendingClaimPtr &claim : m_claims) {
        const Row *row = findRow(conflicts, claim->rowKey);
        if (row == nullptr)
            continue;
        settleFromRow(claim, row);
        m_mustRead = false;
    }
}

void ClaimBatch::settleFromRow(const PendingClaimPtr &claim, const Row *row)
{
    claim->expectedVersion = 0;
    if (row == nullptr || row->version == 0)
        return;
    auto holder = decodeClaim(*row);
    // A row that can't be decoded still shows that another attempt may have been sent.
    if (!holder) {
        settle(claim, heldBy({}));
        return;
    }
    if (holder->token == claim->row.token && holder->state != ClaimState::Abandoned) {
        settle(claim, granted());
        return;
    }
    if (holder->state == ClaimState::Abandoned) {
        claim->expectedVersion = row->version;
        return;
    }
    settle(claim, heldBy(std::move(*holder)));
}

void ClaimBatch::settle(const PendingClaimPtr &claim, ClaimOutcome outcome)
{
    const bool isGranted = outcome.verdict == ClaimVerdict::Granted;
    claim->finished = true;
    // The caller was already answered as Unsettled, so a grant must be released. Any other outcome
    // is not needed any more.
    if (claim->givenUp) {
        m_onDropped(claim, isGranted);
        return;
    }
    claim->outcome = std::move(outcome);
    claim->settled.cancel();
}

Transaction ClaimBatch::nextTransaction()
{
    const WallTime now = m_context->clock.wallNow();
    Transaction transaction;
    std::vector<RowKey> names;
    for (const PendingClaimPtr &claim : m_claims) {
        claim->row.hour = claimHour(now);
        names.push_back(claim->rowKey);
        transaction.conditions.push_back({ claim->rowKey, claim->expectedVersion });
        transaction.writes.push_back({ claim->rowKey, encodeClaim(claim->row) });
    }
    transaction.writes.push_back(
        { claimBatchKey(now, m_context->nextToken()), encodeBatch(names) });
    return transaction;
}

void ClaimBatch::removeSettled()
{
    std::erase_if(m_claims, [](const PendingClaimPtr &claim) { return claim->finished; });
}

} // namespace snipestall::peer
