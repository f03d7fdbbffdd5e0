#pragma once

#include "platform/store_row.hpp"
#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/gateway/table_changes.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// Version and age of this instance's copy of a table of the store, and the changes that it can
/// pass on.
///
/// Load: every change and every poll costs a call for each instance that reads the store. So few
/// instances read it. The others get the changes from them, together with the time since the copy
/// was known to be complete, and read the store themselves only when no instance can confirm that
/// any more.
///
/// A large row is passed on as the difference to its last value, because what is sent should depend
/// on what has changed and not on the size of the row.
class TableCopy
{
public:
    explicit TableCopy(std::string table);

    [[nodiscard]] const std::string &table() const { return m_table; }
    [[nodiscard]] std::int64_t version() const { return m_version; }
    /// Records that the first page of the whole table is requested.
    void beginRead(SteadyTime now) { m_readBegunAt = now; }
    /// Records that the whole table has been read. Its state is at least as new as the request of
    /// the first page. `rows` are the rows of the table and, marked as removed, those that this
    /// copy had and the table no longer has. Changes since the last version can still be passed on;
    /// otherwise, when the store drops its history, every instance would have to read the whole
    /// table itself.
    void readWhole(const std::vector<platform::StoredRow> &rows, std::int64_t version);
    /// Records changes up to `version` that were read from the store. `complete`: the table has no
    /// later ones. The store limits an answer, and what is behind that limit may be seconds old.
    void advance(const std::vector<platform::StoredRow> &rows, std::int64_t version, bool complete,
                 SteadyTime now);
    /// Records changes that a peer has passed on, and returns the rows to be applied: of each
    /// changed row the last value. Errors: Conflict if the changes do not continue this copy,
    /// InvalidArgument if they are differences to other values than those of this copy.
    Result<std::vector<platform::StoredRow>> advanceFromPeer(const TableChanges &changes);
    /// Records that a peer with a copy of this version knew it to be complete `age` ago.
    void confirm(std::int64_t version, std::chrono::milliseconds age, SteadyTime now);
    /// Returns the time since which the copy may lack changes.
    [[nodiscard]] std::chrono::milliseconds age(SteadyTime now) const;
    /// Returns the changes that a copy of version `version` lacks; nothing if they are no longer
    /// known here.
    [[nodiscard]] std::optional<TableChanges> since(std::int64_t version) const;
    /// As `since`, for a copy that may have other values of large rows than this one had.
    [[nodiscard]] std::optional<TableChanges> wholeSince(std::int64_t version) const;

private:
    /// Several seconds of changes at the highest rate. Older changes are read from the store.
    static constexpr std::size_t MaxKeptChanges = 600;
    static constexpr std::size_t MaxKeptBytes = std::size_t { 4 } << 20;
    /// Rows from this size on are passed on as differences. The difference to a smaller row would
    /// hardly be smaller than the row.
    static constexpr std::size_t LargeRowBytes = 4096;
    static constexpr std::size_t MaxRowBytes = std::size_t { 32 } << 20;

    struct LargeRow
    {
        std::int64_t version = 0;
        std::string value;
    };

    void keepRows(const std::vector<platform::StoredRow> &rows);
    void keep(RowChange change);
    /// Returns the change in the form in which it is passed on, and remembers a large value.
    RowChange changeOf(const platform::StoredRow &row);
    void remember(const platform::StoredRow &row);
    /// Returns the row after a change. `before` is the large row before it, or null.
    [[nodiscard]] Result<platform::StoredRow> rowAfter(const RowChange &change,
                                                       const LargeRow *before) const;

    std::string m_table;
    std::int64_t m_version = 0;
    /// Changes after this version are kept.
    std::int64_t m_keptAfter = 0;
    std::deque<RowChange> m_changes;
    std::size_t m_keptBytes = 0;
    /// Current values of the large rows.
    std::map<std::string, LargeRow> m_largeRows;
    SteadyTime m_readBegunAt;
    std::optional<SteadyTime> m_confirmedAt;
};

} // namespace snipestall::gateway
