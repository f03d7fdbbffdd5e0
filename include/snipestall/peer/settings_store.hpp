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

/// Why a change was not accepted, with the details that the operator needs to correct it.
struct ChangeRefusal
{
    Error error;
    /// Faults of the resulting settings, if they are invalid.
    std::vector<settings::Fault> faults;
    /// Conflicting changes of these paths by other operators since baseVersion.
    std::vector<settings::Difference> theirs;
    std::uint64_t currentVersion = 0;
};

/// Stores the settings in the platform's table as a head row, immutable version rows, change rows
/// and audit rows:
///
///     settings/head          {"version":N,"hash":H,"change":ID}
///     settings/v/<20 digits> {"hash":H,"change":ID,"yaml":...}
///     settings/c/<change id> {"version":N}
///     audit/<20 digits>      AuditRecord as JSON
///
/// All four rows are written in one transaction, conditional on the head's row version. After a
/// lost answer, or for a repeat at any later time, the change row shows whether the change took
/// effect.
class SettingsStore
{
public:
    SettingsStore(platform::TableService &table, const Clock &clock);

    /// Applies a change and returns the new version. A change against an older version is rebased
    /// if it touches no path that was changed since; otherwise the error is Conflict with `theirs`.
    /// InvalidArgument with `faults` if the settings would be invalid. Unavailable if the change
    /// did not take effect. OutcomeUnknown if that is not known: sending the change again with the
    /// same id finds out.
    wire::Task<tl::expected<SettingsDocument, ChangeRefusal>> change(SettingsChange change);
    /// The current settings. Version 0 and an empty document if there are no settings yet.
    wire::Task<Result<SettingsDocument>> head();
    /// The version of the head only, by one small read.
    wire::Task<Result<std::uint64_t>> headVersion();
    wire::Task<Result<SettingsDocument>> version(std::uint64_t version);
    /// Audit records of the versions below `before` (0: from the head on), newest first, at most
    /// `limit`.
    wire::Task<Result<std::vector<AuditRecord>>> audit(std::uint64_t before, std::size_t limit);

    /// Removes the oldest versions beyond the newest `keep`, at most one batch a call, and returns
    /// how many were removed. Audit rows stay. To be called periodically by the steward only. A
    /// change against a removed version is refused.
    wire::Task<Result<std::size_t>> removeOld(std::uint64_t keep);

private:
    platform::TableService &m_table;
    const Clock &m_clock;
};

} // namespace snipestall::peer
