#pragma once

#include "snipestall/peer/pending_claim.hpp"
#include "snipestall/platform/transaction.hpp"
#include "snipestall/wire/task.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace snipestall::peer {

class ClaimContext;

/// Writes claims in one transaction and sees each of them settled.
///
/// The transaction is all-or-nothing: on a conflict the rows that stood in the way settle their
/// claims and the rest is tried again. After a lost answer the rows are read back: a row with a
/// claim's own token is its grant. A transaction that is tried again can't be granted twice, since
/// its conditions fail once any earlier copy of it has landed.
class ClaimBatch
{
public:
    /// A claim that the batch has let go without an outcome; true if its row may be in the table.
    using Dropped = std::function<void(const PendingClaimPtr &, bool mayBeWritten)>;

    ClaimBatch(std::shared_ptr<ClaimContext> context, std::vector<PendingClaimPtr> claims,
               Dropped dropped);

    wire::Task<void> run();

private:
    wire::Task<void> readBack();
    wire::Task<void> write();
    void dropWorthless();
    void settle(const PendingClaimPtr &claim, ClaimOutcome outcome);
    void settleFromRow(const PendingClaimPtr &claim, const platform::Row *row);
    void settleConflicts(const std::vector<platform::Row> &conflicts);
    platform::Transaction nextTransaction();
    void removeSettled();

    std::shared_ptr<ClaimContext> m_context;
    std::vector<PendingClaimPtr> m_claims;
    Dropped m_dropped;
    bool m_mustRead = false;
    bool m_answerLost = false;
    int m_failures = 0;
};

} // namespace snipestall::peer
