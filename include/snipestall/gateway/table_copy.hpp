#pragma once

#include "platform/store_row.hpp"
#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// Changes of a table from one version to another.
struct TableChanges
{
    std::int64_t from = 0;
    std::int64_t to = 0;
    std::vector<platform::StoredRow> rows;
};

/// How far this instance's copy of a table of the store goes, and the changes that it can pass on.
///
/// Load: every change and every poll costs a call for each instance that reads the store. Few
/// instances read it; the others get the changes from them, with how long ago the copy was known
/// to be complete, and read the store themselves only when nobody can say that any more.
class TableCopy
{
public:
    explicit TableCopy(std::string table);

    [[nodiscard]] const std::string &table() const { return m_table; }
    [[nodiscard]] std::int64_t version() const { return m_version; }
    /// The first page of the whole table is asked for.
    void beginRead(SteadyTime now) { m_readBegunAt = now; }
    /// The whole table has been read, as it was when the first page was asked for at the earliest:
    /// `rows` are its rows, and, as removed, those that this copy had and the table no longer has.
    /// What changed since can still be passed on: when the store drops its history, every instance
    /// would otherwise have to read the whole table itself.
    void readWhole(const std::vector<platform::StoredRow> &rows, std::int64_t version);
    /// Changes up to `version`, read from the store.
    void advance(const std::vector<platform::StoredRow> &rows, std::int64_t version,
                 SteadyTime now);
    /// Changes that a peer passed on; true if they continue this copy and are to be applied.
    bool advanceFromPeer(const TableChanges &changes);
    /// A peer whose copy goes as far knew it to be complete this long ago.
    void confirm(std::int64_t version, std::chrono::milliseconds age, SteadyTime now);
    /// Since when the copy may lack something.
    [[nodiscard]] std::chrono::milliseconds age(SteadyTime now) const;
    /// What a copy that goes up to `version` lacks; nothing if that is no longer known here.
    [[nodiscard]] std::optional<TableChanges> since(std::int64_t version) const;

private:
    /// Several seconds of the busiest changes; what is older is read from the store.
    static constexpr std::size_t MostKept = 600;

    void keep(const std::vector<platform::StoredRow> &rows);

    std::string m_table;
    std::int64_t m_version = 0;
    /// Changes after this version are kept.
    std::int64_t m_keptAfter = 0;
    std::deque<platform::StoredRow> m_changes;
    SteadyTime m_readBegunAt;
    std::optional<SteadyTime> m_confirmedAt;
};

} // namespace snipestall::gateway
