#pragma once

#include "snipestall/peer/claim_row.hpp"
#include "snipestall/platform/transaction.hpp"
#include "snipestall/wire/task.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::peer {

class ClaimContext;

/// A change of a claim's row that must reach the table, but not at once.
struct ClaimUpdate
{
    enum class Kind {
        /// Store the outcome of a granted claim in its row.
        StoreOutcome,
        /// Mark a claim that was not granted as abandoned, so that the next claimer may have the
        /// key.
        Abandon,
        /// Mark a claim that was granted and not used as abandoned.
        ReleaseUnused,
    };

    Kind kind = Kind::StoreOutcome;
    platform::RowKey rowKey;
    /// StoreOutcome: attempt and outcome. ReleaseUnused: attempt. Abandon: the whole row as the
    /// claim's write may have stored it.
    ClaimRow row;
};

/// Writes updates in the background, many in one transaction, until the table has accepted them.
///
/// Each pass reads the rows and writes conditionally on their versions. After a lost answer the
/// next pass therefore sees whether an update took effect, and an update that no longer matches its
/// row is dropped.
class ClaimUpdates : public std::enable_shared_from_this<ClaimUpdates>
{
public:
    explicit ClaimUpdates(std::shared_ptr<ClaimContext> context);

    void add(ClaimUpdate update);

private:
    wire::Task<void> run();
    /// False if the table did not answer.
    wire::Task<bool> runPass();
    [[nodiscard]] std::vector<platform::RowKey> nextKeys() const;
    platform::Transaction prepare(const std::vector<platform::Row> &rows, std::size_t count);
    void finishFirst(std::size_t count);
    void finish(const ClaimUpdate &update);

    std::shared_ptr<ClaimContext> m_context;
    std::deque<ClaimUpdate> m_updates;
    bool m_running = false;
};

} // namespace snipestall::peer
