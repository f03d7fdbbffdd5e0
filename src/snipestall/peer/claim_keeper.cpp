#include "snipestall/peer/claim_keeper.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/peer/claim_batch.hpp"
#include "snipestall/peer/claim_context.hpp"
#include "snipestall/peer/claim_expiry.hpp"
#include "snipestall/peer/claim_updates.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace snipestall::peer {

using platform::RowKey;
using wire::Task;

struct ClaimKeeper::State : std::enable_shared_from_this<State>
{
    explicit State(std::shared_ptr<ClaimContext> shared)
        : context(std::move(shared))
        , updates(std::make_shared<ClaimUpdates>(context))
    { }

    PendingClaimPtr admit(ClaimRequest request);
    ClaimOutcome conclude(const PendingClaimPtr &claim);

    void enqueue(PendingClaimPtr claim);
    void openWindow();
    Task<void> writeAfterWindow();
    void startBatches();
    Task<void> runBatch(std::vector<PendingClaimPtr> claims);

    void onDropped(const PendingClaimPtr &claim, bool mayBeWritten);
    void abandon(const PendingClaim &claim);
    void release(const RowKey &key);

    std::shared_ptr<ClaimContext> context;
    std::shared_ptr<ClaimUpdates> updates;
    std::deque<PendingClaimPtr> queue;
    /// Keys with a pending claim of this instance, each with the claims that wait until that one is
    /// settled.
    std::map<RowKey, std::deque<PendingClaimPtr>> pendingKeys;
    std::size_t batches = 0;
    bool windowOpen = false;
};

PendingClaimPtr ClaimKeeper::State::admit(ClaimRequest request)
{
    ++context->counters.claims;
    auto claim = std::make_shared<PendingClaim>(context->io, std::move(request));
    claim->row.request = claim->request.request;
    claim->row.attempt = claim->request.attempt;
    claim->row.bodyHash = claim->request.bodyHash;
    claim->row.token = context->nextToken();
    claim->settled.expires_after(claim->request.deadline - context->clock.steadyNow());
    // In one transaction, the conditions of two claims of one key would both be met. The second
    // claim therefore waits until the first is settled and then finds its row.
    const auto [waiters, first] = pendingKeys.try_emplace(claim->rowKey);
    if (first) {
        enqueue(claim);
    } else {
        claim->readFirst = true;
        waiters->second.push_back(claim);
    }
    return claim;
}

void ClaimKeeper::State::enqueue(PendingClaimPtr claim)
{
    queue.push_back(std::move(claim));
    if (queue.size() >= context->options.maxBatch)
        startBatches();
    if (!queue.empty())
        openWindow();
}

void ClaimKeeper::State::openWindow()
{
    if (std::exchange(windowOpen, true))
        return;
    wire::spawn(
        context->io, [self = shared_from_this()] { return self->writeAfterWindow(); }, "claims");
}

Task<void> ClaimKeeper::State::writeAfterWindow()
{
    const auto self = shared_from_this();
    co_await context->pauseFor(std::max(context->options.batchWindow, context->writeDelay()));
    windowOpen = false;
    startBatches();
}

/// Starts batches for the claims that may be written now. The others stay queued until the next
/// window or, if too many batches are running, until one of them ends.
void ClaimKeeper::State::startBatches()
{
    while (!queue.empty() && batches < context->options.maxInFlight && !context->stopped) {
        if (context->writeDelay() > std::chrono::milliseconds(0)) {
            openWindow();
            return;
        }
        const std::size_t count = std::min(queue.size(), context->options.maxBatch);
        const auto end = queue.begin() + static_cast<std::ptrdiff_t>(count);
        std::vector<PendingClaimPtr> claims(queue.begin(), end);
        queue.erase(queue.begin(), end);
        ++batches;
        wire::spawn(
            context->io,
            [self = shared_from_this(), claims = std::move(claims)] {
                return self->runBatch(claims);
            },
            "claim-batch");
    }
}

Task<void> ClaimKeeper::State::runBatch(std::vector<PendingClaimPtr> claims)
{
    const auto self = shared_from_this();
    ClaimBatch batch(context, std::move(claims),
                     [this](const PendingClaimPtr &claim, bool mayBeWritten) {
                         onDropped(claim, mayBeWritten);
                     });
    co_await batch.run();
    --batches;
    if (!windowOpen)
        startBatches();
}

void ClaimKeeper::State::onDropped(const PendingClaimPtr &claim, bool mayBeWritten)
{
    if (mayBeWritten)
        abandon(*claim);
    if (claim->givenUp) {
        release(claim->rowKey);
        return;
    }
    // The caller's coroutine has not yet resumed after the deadline.
    claim->outcome = ClaimOutcome {};
    claim->settled.cancel();
}

// A process that was suspended may receive the answer to its write long after its caller was told
// that the request was not executed. A grant is therefore valid only before the deadline, and a
// later one is abandoned.
ClaimOutcome ClaimKeeper::State::conclude(const PendingClaimPtr &claim)
{
    if (!claim->outcome) {
        claim->givenUp = true;
        ++context->counters.unsettled;
        return {};
    }
    ClaimOutcome outcome = std::move(*claim->outcome);
    const bool tooLate = context->clock.steadyNow() >= claim->request.deadline;
    if (outcome.verdict == ClaimVerdict::Granted && tooLate) {
        abandon(*claim);
        outcome = {};
    }
    release(claim->rowKey);
    switch (outcome.verdict) {
    case ClaimVerdict::Granted:
        ++context->counters.granted;
        break;
    case ClaimVerdict::Held:
        ++context->counters.held;
        logEvent(events::ClaimLost,
                 { { "request", claim->request.request }, { "holder", outcome.holderRequest } });
        break;
    case ClaimVerdict::Unsettled:
        ++context->counters.unsettled;
        break;
    }
    return outcome;
}

void ClaimKeeper::State::abandon(const PendingClaim &claim)
{
    logEvent(events::ClaimAbandoned,
             { { "request", claim.request.request }, { "attempt", claim.request.attempt } });
    ClaimUpdate update;
    update.kind = ClaimUpdate::Kind::Abandon;
    update.rowKey = claim.rowKey;
    update.row = claim.row;
    updates->add(std::move(update));
}

void ClaimKeeper::State::release(const RowKey &key)
{
    const auto found = pendingKeys.find(key);
    auto &waiters = found->second;
    while (!waiters.empty() && waiters.front()->givenUp)
        waiters.pop_front();
    if (waiters.empty()) {
        pendingKeys.erase(found);
        return;
    }
    PendingClaimPtr next = std::move(waiters.front());
    waiters.pop_front();
    enqueue(std::move(next));
}

std::unique_ptr<ClaimKeeper> ClaimKeeper::create(boost::asio::io_context &io,
                                                 platform::TableService &table, const Clock &clock,
                                                 std::string instance, ClaimOptions options)
{
    auto context = std::make_shared<ClaimContext>(io, table, clock, std::move(instance), options);
    auto state = std::make_shared<State>(std::move(context));
    return std::unique_ptr<ClaimKeeper>(new ClaimKeeper(std::move(state)));
}

ClaimKeeper::ClaimKeeper(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

ClaimKeeper::~ClaimKeeper()
{
    m_state->context->stopped = true;
}

Task<ClaimOutcome> ClaimKeeper::claim(ClaimRequest request)
{
    const auto state = m_state;
    const PendingClaimPtr claim = state->admit(std::move(request));
    if (!claim->outcome)
        co_await claim->settled.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    co_return state->conclude(claim);
}

void ClaimKeeper::storeOutcome(const ClaimKey &key, std::string attempt, StoredOutcome outcome)
{
    ClaimUpdate update;
    update.rowKey = claimRowKey(key);
    update.row.attempt = std::move(attempt);
    update.row.outcome = std::move(outcome);
    m_state->updates->add(std::move(update));
}

void ClaimKeeper::releaseUnused(const ClaimKey &key, std::string attempt)
{
    ClaimUpdate update;
    update.kind = ClaimUpdate::Kind::ReleaseUnused;
    update.rowKey = claimRowKey(key);
    update.row.attempt = std::move(attempt);
    m_state->updates->add(std::move(update));
}

Task<Result<std::optional<ClaimOutcome>>> ClaimKeeper::lookup(ClaimKey key)
{
    const auto context = m_state->context;
    std::vector<RowKey> keys { claimRowKey(key) };
    const auto rows = co_await context->read(std::move(keys));
    if (!rows)
        co_return tl::unexpected<Error>(rows.error());
    if (rows->empty())
        co_return std::optional<ClaimOutcome>();
    auto row = decodeClaim(rows->front());
    if (!row)
        co_return tl::unexpected<Error>(row.error());
    // The claim was abandoned before the request was sent, so no attempt holds the key.
    if (row->state == ClaimState::Abandoned)
        co_return std::optional<ClaimOutcome>();
    co_return std::optional<ClaimOutcome>(heldBy(std::move(*row)));
}

Task<void> ClaimKeeper::removeExpired()
{
    const auto context = m_state->context;
    co_await removeExpiredClaims(context);
}

void ClaimKeeper::limitWrites(double perSecond)
{
    m_state->context->options.writesPerSecond = perSecond;
}

ClaimCounters ClaimKeeper::counters() const
{
    return m_state->context->counters;
}

} // namespace snipestall::peer
