#pragma once

#include "snipestall/peer/pending_claim.hpp"
#include "snipestall/platform/transaction.hpp"
#include "snipestall/wire/task.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace snipestall::peer {

class ClaimContext;

/// Writes claims in one transaction and settles each of them.
///
/// The transaction is atomic: on a conflict the conflicting rows settle their claims and the other
/// claims are written again. After a lost answer the rows are read back: a row with a claim's own
/// token is its grant. A retried transaction can't grant a claim twice, because its conditions fail
/// once any earlier copy of it has taken effect.
class ClaimBatch
{
public:
    /// Called for a claim that the batch drops without an outcome. `mayBeWritten` is true if its
    /// row may be in the table.
    using DropHandler = std::function<void(const PendingClaimPtr &, bool mayBeWritten)>;

    ClaimBatch(std::shared_ptr<ClaimContext> context, std::vector<PendingClaimPtr> claims,
               DropHandler onDropped);

    /// Returns when every claim is settled or dropped, or the keeper has stopped.
    wire::Task<void> run();

private:
    wire::Task<void> readBack();
    wire::Task<void> write();
    void dropExpired();
    void settle(const PendingClaimPtr &claim, ClaimOutcome outcome);
    void settleFromRow(const PendingClaimPtr &claim, const platform::Row *row);
    void settleConflicts(const std::vector<platform::Row> &conflicts);
    platform::Transaction nextTransaction();
    void removeSettled();

    std::shared_ptr<ClaimContext> m_context;
    std::vector<PendingClaimPtr> m_claims;
    DropHandler m_onDropped;
    bool m_mustRead = false;
    bool m_answerLost = false;
    int m_failures = 0;
};

} // namespace snipestall::peer
