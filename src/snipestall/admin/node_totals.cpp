#include "snipestall/admin/node_totals.hpp"

#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/node.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/platform/http_platform.hpp"

namespace snipestall::admin {

InstanceTotals collectTotals(entry::Node &node)
{
    const entry::DispatchCounters &dispatched = node.dispatcher().counters();
    const platform::PlatformCounters platform = node.platform().counters();
    InstanceTotals totals;
    totals.attempts = dispatched.attempts;
    totals.forwards = dispatched.forwards;
    totals.answersDropped = dispatched.mismatchedAnswers;
    totals.tokensRecomputed = dispatched.recomputedTokens;
    totals.platformTransactions = platform.transactions;
    totals.platformRowWrites = platform.rowWrites;
    totals.platformReads = platform.reads + platform.scans;
    totals.platformFailures = platform.failures;
    totals.claimsAbandoned = node.claimCounters().abandoned;
    return totals;
}

} // namespace snipestall::admin
