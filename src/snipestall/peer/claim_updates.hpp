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

/// A change of a claim's row that must get into the table sooner or later.
struct ClaimUpdate
{
    enum class Kind {
        /// Put the outcome of a granted claim beside it.
        StoreOutcome,
        /// Mark a claim that was never granted, so that the next claimer may have the key.
        Abandon,
        /// The same for a claim that was granted and not used.
        GiveBack,
    };

    Kind kind = Kind::StoreOutcome;
    platform::RowKey rowKey;
    /// StoreOutcome: attempt and outcome. GiveBack: attempt. Abandon: the whole row as its write
    /// may have left it.
    ClaimRow row;
};

/// Writes updates in the background, many in one transaction, until the table has taken them.
///
/// Each pass reads the rows and writes against their versions, so an update whose answer was lost
/// is seen to be in by the next pass, and one that no longer fits its row is dropped.
class ClaimUpdates : public std::enable_shared_from_this<ClaimUpdates>
{
public:
    explicit ClaimUpdates(std::shared_ptr<ClaimContext> context);

    void add(ClaimUpdate update);

private:
    wire::Task<void> run();
    /// False if the table did not take it.
    wire::Task<bool> pass();
    [[nodiscard]] std::vector<platform::RowKey> nextKeys() const;
    platform::Transaction prepare(const std::vector<platform::Row> &rows, std::size_t count);
    void finishFirst(std::size_t count);
    void finish(const ClaimUpdate &update);

    std::shared_ptr<ClaimContext> m_context;
    std::deque<ClaimUpdate> m_updates;
    bool m_running = false;
};

} // namespace snipestall::peer
