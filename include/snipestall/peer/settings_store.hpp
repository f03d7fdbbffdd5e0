#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/audit_record.hpp"
#include "snipestall/peer/settings_change.hpp"
#include "snipestall/peer/settings_document.hpp"
#include "snipestall/settings/difference.hpp"
#include "snipestall/settings/fault.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace snipestall {
class Clock;
}
namespace snipestall::platform {
class TableService;
}

namespace snipestall::peer {

/// Why a change was not accepted, with what the operator needs to go on.
struct ChangeRefusal
{
    Error error;
    /// The settings are faulty.
    std::vector<settings::Fault> faults;
    /// Another operator changed these paths since baseVersion.
    std::vector<settings::Difference> theirs;
    std::uint64_t currentVersion = 0;
};

/// The settings in the platform's table: a head row, immutable version rows, audit rows. Rows:
///
///     settings/head          {"version":N,"hash":H,"change":ID}
///     settings/v/<20 digits> {"hash":H,"change":ID,"yaml":...}
///     settings/c/<change id> {"version":N}
///     audit/<20 digits>      AuditRecord as JSON
///
/// All four are written in one transaction against the head's row version. A lost answer, and a
/// repeat at any later time, is settled by reading the row of the change's id.
class SettingsStore
{
public:
    SettingsStore(platform::TableService &table, const Clock &clock);

    /// The new version. A change made against an older version is rebased if no path touches;
    /// Conflict with `theirs` otherwise. InvalidArgument with `faults`. Unavailable: not in.
    /// OutcomeUnknown: ask again with the same id to find out.
    wire::Task<tl::expected<SettingsDocument, ChangeRefusal>> change(SettingsChange change);
    /// Version 0 with no text if there are no settings yet.
    wire::Task<Result<SettingsDocument>> head();
    /// The head's version alone: one small read.
    wire::Task<Result<std::uint64_t>> headVersion();
    wire::Task<Result<SettingsDocument>> version(std::uint64_t version);
    /// Newest first, from `before` (0: from the head) down, at most `limit`.
    wire::Task<Result<std::vector<AuditRecord>>> audit(std::uint64_t before, std::size_t limit);

    /// Removes the oldest versions beyond the newest `keep`, at most one batch a call; the audit
    /// stays. Run now and then, by the steward alone. A change against a removed version is
    /// refused.
    wire::Task<Result<std::size_t>> removeOld(std::uint64_t keep);

private:
    platform::TableService &m_table;
    const Clock &m_clock;
};

} // namespace snipestall::peer
