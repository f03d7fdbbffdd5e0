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

/// Each round loses only to another operator's change that took effect; eight lost races in a row
/// mean a script that changes settings without end, and its author should hear of it.
constexpr int MaxRounds = 8;
/// Versions removed in one go: their rows are read whole, and 16 documents of 20 KB are about what
/// a table answers in one piece.
constexpr std::size_t RemovedTogether = 16;

/// The rows that say where a change stands, read in one go.
struct Standing
{
    SettingsHead head;
    /// The version that the change made, if it is in.
    std::optional<std::uint64_t> made;
};

Task<Result<Standing>> readStanding(platform::TableService &table, std::string changeId)
{
    const std::vector<RowKey> keys { headKey(), changeKey(changeId) };
    const auto rows = co_await table.read(keys);
    if (!rows)
        co_return tl::unexpected<Error>(rows.error());
    const auto head = decodeHead(findRow(*rows, headKey()));
    if (!head)
        co_return tl::unexpected<Error>(head.error());
    Standing standing { *head, std::nullopt };
    const Row *change = findRow(*rows, changeKey(changeId));
    if (change == nullptr)
        co_return standing;
    const auto made = decodeChange(*change);
    if (!made)
        co_return tl::unexpected<Error>(made.error());
    standing.made = *made;
    co_return standing;
}

/// Head and base documents of a change.
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

/// Head, version, change and audit rows together. The head's row version decides a race; the other
/// rows must be new, so a version once written is never overwritten and an id counts once.
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

AuditRecord auditOf(const SettingsChange &change, const SettingsProposal &proposal, WallTime now)
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

/// A failure before the change is known to be out: if an earlier write may have taken effect, it
/// must not be reported as having had none.
tl::unexpected<ChangeRefusal> failed(Error error, bool mayBeIn)
{
    if (mayBeIn)
        error = {
            ErrorKind::OutcomeUnknown,
            "whether the change is in could not be read back; send it again with the same id"
        };
    return refusal(std::move(error), 0);
}

/// What one round came to.
struct Round
{
    using Settled = tl::expected<SettingsDocument, ChangeRefusal>;

    std::optional<Settled> settled;
    /// The table does not answer; this round had no effect.
    std::optional<Error> error;
    /// The write may have taken effect.
    bool answerLost = false;
};

Round inError(Error error)
{
    Round round;
    round.error = std::move(error);
    return round;
}

Round settledAs(Round::Settled settled)
{
    Round round;
    round.settled = std::move(settled);
    return round;
}

Task<Round> writeOnce(platform::TableService &table, SettingsProposal proposal, SettingsHead head,
                      AuditRecord audit)
{
    Transaction transaction = transactionFor(proposal, head, audit);
    const auto outcome = co_await table.transact(std::move(transaction));
    if (!outcome && outcome.error().kind == ErrorKind::Unavailable)
        co_return inError(outcome.error());
    Round round;
    round.answerLost = !outcome;
    if (outcome && outcome->committed)
        round.settled = std::move(proposal.document);
    co_return round;
}

// The table's answer can be lost after the write took effect, and the operator's client then sends
// the change again, possibly after others have changed the settings. Each round therefore begins by
// reading the row of the change's id: if it is there, the change is in and is not made again.
Task<Round> changeOnce(SettingsStore &store, platform::TableService &table, SettingsChange change,
                       WallTime now)
{
    const auto standing = co_await readStanding(table, change.id);
    if (!standing)
        co_return inError(standing.error());
    if (standing->made) {
        auto made = co_await store.version(*standing->made);
        if (!made) {
            Round round = inError(made.error());
            round.answerLost = true;
            co_return round;
        }
        co_return settledAs(std::move(*made));
    }
    const auto versions = co_await readVersions(store, change.baseVersion, standing->head.version);
    if (!versions)
        co_return inError(versions.error());
    auto proposal = propose(change, versions->base, versions->head);
    if (!proposal)
        co_return settledAs(tl::unexpected<ChangeRefusal>(std::move(proposal.error())));
    AuditRecord audit = auditOf(change, *proposal, now);
    co_return co_await writeOnce(table, std::move(*proposal), standing->head, std::move(audit));
}

// Version and change rows go together. Were a change's row removed alone, its late repeat would be
// made a second time; without the version that it was made against, the repeat is refused instead.
Transaction removalOf(const std::vector<Row> &oldest, std::uint64_t newestRemoved)
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
                      "a change needs an id; let the client choose one" };
        co_return refusal(std::move(error), 0);
    }
    bool mayBeIn = false;
    for (int round = 0; round < MaxRounds; ++round) {
        auto result = co_await changeOnce(*this, m_table, change, m_clock.wallNow());
        if (result.settled)
            co_return std::move(*result.settled);
        mayBeIn = mayBeIn || result.answerLost;
        if (result.error)
            co_return failed(std::move(*result.error), mayBeIn);
    }
    Error error { ErrorKind::Exhausted,
                  "other changes came first each time; wait for them to end and send it again" };
    co_return failed(std::move(error), mayBeIn);
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
    // The head's own version is always kept.
    const std::uint64_t kept = std::max<std::uint64_t>(keep, 1);
    if (*current <= kept)
        co_return std::size_t(0);
    const RowKey prefix = versionPrefix();
    const std::string fromTheFirst;
    const auto oldest =
        co_await m_table.scan(prefix.table, prefix.key, fromTheFirst, RemovedTogether);
    if (!oldest)
        co_return tl::unexpected<Error>(oldest.error());
    Transaction transaction = removalOf(*oldest, *current - kept);
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
