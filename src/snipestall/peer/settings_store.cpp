#include "snipestall/peer/settings_store.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/peer/audit_json.hpp"
#include "snipestall/peer/settings_proposal.hpp"
#include "snipestall/peer/settings_rows.hpp"
#include "snipestall/platform/table_service.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::peer {

using platform::Row;
using platform::RowKey;
using platform::Transaction;
using wire::Task;

namespace {

/// Attempts to write a change. An attempt conflicts only with another operator's change that took
/// effect. Eight conflicts in a row indicate a script that changes the settings continuously, and
/// its author should see the error.
constexpr int MaxAttempts = 8;
/// Versions removed in one call. Their rows are read with their documents, and 16 documents of 20
/// KB are about what a table returns in one response.
constexpr std::size_t MaxVersionsPerCall = 16;

/// Head row and change row of a change, read in one call.
struct ChangeStatus
{
    SettingsHead head;
    /// The version that the change made, if it has taken effect.
    std::optional<std::uint64_t> appliedVersion;
};

Task<Result<ChangeStatus>> readChangeStatus(platform::TableService &table, std::string changeId)
{
    const std::vector<RowKey> keys { headKey(), changeKey(changeId) };
    const auto rows = co_await table.read(keys);
    if (!rows)
        co_return tl::unexpected<Error>(rows.error());
    const auto head = decodeHead(findRow(*rows, headKey()));
    if (!head)
        co_return tl::unexpected<Error>(head.error());
    ChangeStatus status { *head, std::nullopt };
    const Row *change = findRow(*rows, changeKey(changeId));
    if (change == nullptr)
        co_return status;
    const auto appliedVersion = decodeChange(*change);
    if (!appliedVersion)
        co_return tl::unexpected<Error>(appliedVersion.error());
    status.appliedVersion = *appliedVersion;
    co_return status;
}

/// Head and base documents for a change.
struct Versions
{
    SettingsDocument base;
    SettingsDocument head;
};

Task<Result<Versions>> readVersions(SettingsStore &store, std::uint64_t base, std::uint64_t head)
{
    Versions versions;
    if (head == 0)
        co_return versions;
    auto headDocument = co_await store.version(head);
    if (!headDocument)
        co_return tl::unexpected<Error>(headDocument.error());
    versions.head = std::move(*headDocument);
    versions.base = versions.head;
    if (base == 0 || base >= head)
        co_return versions;
    auto baseDocument = co_await store.version(base);
    if (!baseDocument)
        co_return tl::unexpected<Error>(baseDocument.error());
    versions.base = std::move(*baseDocument);
    co_return versions;
}

/// The transaction with head, version, change and audit rows. The head's row version decides a
/// race. Version and change rows must be new, so a stored version is never overwritten and a change
/// id takes effect only once.
Transaction transactionFor(const SettingsProposal &proposal, const SettingsHead &head,
                           const AuditRecord &audit)
{
    const std::uint64_t version = proposal.document.version;
    Transaction transaction;
    transaction.conditions = { { headKey(), head.storedVersion },
                               { versionKey(version), 0 },
                               { changeKey(audit.changeId), 0 } };
    transaction.writes = { { headKey(), encodeHead(proposal.document, audit.changeId) },
                           { versionKey(version),
                             encodeVersion(proposal.document, audit.changeId) },
                           { changeKey(audit.changeId), encodeChange(version) },
                           { auditKey(version), encodeAudit(audit) } };
    return transaction;
}

AuditRecord makeAudit(const SettingsChange &change, const SettingsProposal &proposal, WallTime now)
{
    AuditRecord audit;
    audit.changeId = change.id;
    audit.who = change.who;
    audit.reason = change.reason;
    audit.at = now;
    audit.fromVersion = proposal.document.version - 1;
    audit.toVersion = proposal.document.version;
    audit.differences = proposal.differences;
    return audit;
}

tl::unexpected<ChangeRefusal> refusal(Error error, std::uint64_t current)
{
    ChangeRefusal refused;
    refused.error = std::move(error);
    refused.currentVersion = current;
    return tl::unexpected<ChangeRefusal>(std::move(refused));
}

/// Refusal after an error. If an earlier write may have taken effect, the error becomes
/// OutcomeUnknown, because any other error means that the change did not take effect.
tl::unexpected<ChangeRefusal> failed(Error error, bool mayHaveTakenEffect)
{
    if (mayHaveTakenEffect)
        error = {
            ErrorKind::OutcomeUnknown,
            "can't read back whether the change took effect; send it again with the same id"
        };
    return refusal(std::move(error), 0);
}

/// Result of one attempt to write a change.
struct AttemptResult
{
    using Settled = tl::expected<SettingsDocument, ChangeRefusal>;

    std::optional<Settled> settled;
    /// The table did not answer or a row is damaged. This attempt had no effect.
    std::optional<Error> error;
    /// The write may have taken effect.
    bool answerLost = false;
};

AttemptResult failedAttempt(Error error)
{
    AttemptResult attempt;
    attempt.error = std::move(error);
    return attempt;
}

AttemptResult settledAttempt(AttemptResult::Settled settled)
{
    AttemptResult attempt;
    attempt.settled = std::move(settled);
    return attempt;
}

Task<AttemptResult> writeOnce(platform::TableService &table, SettingsProposal proposal,
                              SettingsHead head, AuditRecord audit)
{
    Transaction transaction = transactionFor(proposal, head, audit);
    const auto outcome = co_await table.transact(std::move(transaction));
    if (!outcome && outcome.error().kind == ErrorKind::Unavailable)
        co_return failedAttempt(outcome.error());
    AttemptResult attempt;
    attempt.answerLost = !outcome;
    if (outcome && outcome->committed)
        attempt.settled = std::move(proposal.document);
    co_return attempt;
}

// The table's answer can be lost after the write took effect, and the operator's client then sends
// the change again, possibly after other operators have changed the settings. Each attempt
// therefore begins by reading the change row: if it exists, the change has taken effect and is not
// made again.
Task<AttemptResult> changeOnce(SettingsStore &store, platform::TableService &table,
                               SettingsChange change, WallTime now)
{
    const auto status = co_await readChangeStatus(table, change.id);
    if (!status)
        co_return failedAttempt(status.error());
    if (status->appliedVersion) {
        auto document = co_await store.version(*status->appliedVersion);
        if (!document) {
            AttemptResult attempt = failedAttempt(document.error());
            attempt.answerLost = true;
            co_return attempt;
        }
        co_return settledAttempt(std::move(*document));
    }
    const auto versions = co_await readVersions(store, change.baseVersion, status->head.version);
    if (!versions)
        co_return failedAttempt(versions.error());
    auto proposal = propose(change, versions->base, versions->head);
    if (!proposal)
        co_return settledAttempt(tl::unexpected<ChangeRefusal>(std::move(proposal.error())));
    AuditRecord audit = makeAudit(change, *proposal, now);
    co_return co_await writeOnce(table, std::move(*proposal), status->head, std::move(audit));
}

// A version row and its change row are removed together. If only the change row were removed, a
// late repeat of the change would take effect a second time. Without the base version the repeat is
// refused instead.
Transaction removalTransaction(const std::vector<Row> &oldest, std::uint64_t newestRemoved)
{
    Transaction transaction;
    for (const Row &row : oldest) {
        const auto stored = decodeStoredVersion(row);
        if (!stored || stored->version > newestRemoved)
            break;
        transaction.conditions.push_back({ row.key, row.version });
        transaction.writes.push_back({ row.key, std::nullopt });
        transaction.writes.push_back({ changeKey(stored->changeId), std::nullopt });
    }
    return transaction;
}

} // namespace

SettingsStore::SettingsStore(platform::TableService &table, const Clock &clock)
    : m_table(table)
    , m_clock(clock)
{ }

Task<tl::expected<SettingsDocument, ChangeRefusal>> SettingsStore::change(SettingsChange change)
{
    if (change.id.empty()) {
        Error error { ErrorKind::InvalidArgument,
                      "the change has no id; let the client choose one" };
        co_return refusal(std::move(error), 0);
    }
    bool mayHaveTakenEffect = false;
    for (int count = 0; count < MaxAttempts; ++count) {
        auto result = co_await changeOnce(*this, m_table, change, m_clock.wallNow());
        if (result.settled)
            co_return std::move(*result.settled);
        mayHaveTakenEffect = mayHaveTakenEffect || result.answerLost;
        if (result.error)
            co_return failed(std::move(*result.error), mayHaveTakenEffect);
    }
    Error error { ErrorKind::Exhausted,
                  "other changes took effect first each time; wait until they have ended and send "
                  "the change again" };
    co_return failed(std::move(error), mayHaveTakenEffect);
}

Task<Result<SettingsDocument>> SettingsStore::head()
{
    const auto current = co_await headVersion();
    if (!current)
        co_return tl::unexpected<Error>(current.error());
    if (*current == 0)
        co_return SettingsDocument {};
    co_return co_await version(*current);
}

Task<Result<std::uint64_t>> SettingsStore::headVersion()
{
    const std::vector<RowKey> keys { headKey() };
    const auto rows = co_await m_table.read(keys);
    if (!rows)
        co_return tl::unexpected<Error>(rows.error());
    const auto head = decodeHead(findRow(*rows, headKey()));
    if (!head)
        co_return tl::unexpected<Error>(head.error());
    co_return head->version;
}

Task<Result<SettingsDocument>> SettingsStore::version(std::uint64_t version)
{
    const std::vector<RowKey> keys { versionKey(version) };
    const auto rows = co_await m_table.read(keys);
    if (!rows)
        co_return tl::unexpected<Error>(rows.error());
    const Row *row = findRow(*rows, versionKey(version));
    if (row == nullptr)
        co_return fail(ErrorKind::NotFound,
                       "no settings version " + std::to_string(version)
                           + "; list versions with snipestallctl history");
    co_return decodeVersion(version, *row);
}

Task<Result<std::size_t>> SettingsStore::removeOld(std::uint64_t keep)
{
    const auto current = co_await headVersion();
    if (!current)
        co_return tl::unexpected<Error>(current.error());
    // The current version is always kept.
    const std::uint64_t kept = std::max<std::uint64_t>(keep, 1);
    if (*current <= kept)
        co_return std::size_t(0);
    const RowKey prefix = versionPrefix();
    const std::string unrestricted;
    const auto oldest =
        co_await m_table.scan(prefix.table, prefix.key, unrestricted, MaxVersionsPerCall);
    if (!oldest)
        co_return tl::unexpected<Error>(oldest.error());
    Transaction transaction = removalTransaction(*oldest, *current - kept);
    const std::size_t removed = transaction.conditions.size();
    if (removed == 0)
        co_return removed;
    const auto outcome = co_await m_table.transact(std::move(transaction));
    if (!outcome)
        co_return tl::unexpected<Error>(outcome.error());
    co_return outcome->committed ? removed : 0;
}

Task<Result<std::vector<AuditRecord>>> SettingsStore::audit(std::uint64_t before, std::size_t limit)
{
    if (before == 0) {
        const auto current = co_await headVersion();
        if (!current)
            co_return tl::unexpected<Error>(current.error());
        before = *current + 1;
    }
    std::vector<RowKey> keys;
    for (std::uint64_t at = before - 1; at > 0 && keys.size() < limit; --at)
        keys.push_back(auditKey(at));
    if (keys.empty())
        co_return std::vector<AuditRecord>();
    const auto rows = co_await m_table.read(keys);
    if (!rows)
        co_return tl::unexpected<Error>(rows.error());
    std::vector<AuditRecord> records;
    for (const Row &row : *rows) {
        auto record = decodeAudit(row.value);
        if (!record)
            co_return tl::unexpected<Error>(record.error());
        records.push_back(std::move(*record));
    }
    std::ranges::sort(records, std::ranges::greater(), &AuditRecord::toVersion);
    co_return records;
}

} // namespace snipestall::peer
