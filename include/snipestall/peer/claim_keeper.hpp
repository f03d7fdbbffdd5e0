#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/claim_key.hpp"
#include "snipestall/peer/claim_outcome.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace snipestall {
class Clock;
}
namespace snipestall::platform {
class TableService;
}

namespace snipestall::peer {

/// A request for the permission to send a non-idempotent request once.
struct ClaimRequest
{
    ClaimKey key;
    /// Ids of the request and of the attempt that is to be sent.
    std::string request;
    std::string attempt;
    /// Hash of the request body, by which a repeat with another body is recognized.
    std::string bodyHash;
    /// After this time the caller can no longer use the claim, so it must end as Unsettled.
    std::chrono::steady_clock::time_point deadline;
};

/// Batching, rate and retry parameters of a ClaimKeeper.
struct ClaimOptions
{
    /// How long claims are collected before they are written in one transaction.
    std::chrono::milliseconds batchWindow { 5 };
    /// Most claims in one transaction. A claim's row is about 350 bytes, so a full batch stays
    /// under 100 KB. With 64 claims, writesPerSecond below would cap an instance at 1,600 rows a
    /// second.
    std::size_t maxBatch = 256;
    /// How long outcomes and abandon marks are collected before they are written. Only a repeat
    /// waits for them. The cost of the delay is that a repeat is answered "unknown" if the instance
    /// crashes within this time.
    std::chrono::milliseconds updateWindow { 25 };
    /// Rows are kept this long and then removed in batches.
    std::chrono::hours lifetime { 24 };
    /// Most concurrent transactions of one instance. Several allow a slow call to delay one batch
    /// and not all; the limit keeps an instance from filling the table's write budget with waiting
    /// work.
    std::size_t maxInFlight = 4;
    /// Transactions a second that this instance may send to the table, with short bursts above it;
    /// 0 means no limit. When they are used up, claims are collected into larger batches. 25 is the
    /// share of one of eight instances in 200 writes a second.
    double writesPerSecond = 25;
    /// Initial and maximum delay before a failed table call is retried. New claims queue behind
    /// those that are retried, so the maximum bounds how late they notice that the table is
    /// available again. The platform client's circuit breaker limits the call rate in an outage.
    std::chrono::milliseconds initialBackoff { 20 };
    std::chrono::milliseconds maxBackoff { 250 };
};

/// Totals since the start of a ClaimKeeper, except outcomesPending, which is a current count.
struct ClaimCounters
{
    std::uint64_t claims = 0;
    std::uint64_t transactions = 0;
    std::uint64_t settledByReading = 0;
    std::uint64_t abandoned = 0;
    /// Rows written or deleted by all transactions that this keeper has sent.
    std::uint64_t rowWrites = 0;
    std::uint64_t reads = 0;
    std::uint64_t granted = 0;
    std::uint64_t held = 0;
    std::uint64_t unsettled = 0;
    std::uint64_t outcomesStored = 0;
    std::uint64_t outcomesPending = 0;
    std::uint64_t rowsExpired = 0;
};

/// Inserts claims, keyed by (customer, service, idempotency key), conditionally into the platform's
/// table. Many claims share one transaction, so that the number of platform writes grows with
/// batches and not with requests. The row is the permission to send: the attempt that inserted it
/// may send once, and no other attempt may ever send. Rows:
///
///     claims/<sha256 of key>           {"request":..,"attempt":..,"token":..,"body":..,"state":..}
///     claim-batches/<hour>/<batch>     the claim rows that one transaction wrote
///
/// A claim's row keeps one key for its whole lifetime, so a repeat finds it in any hour. Expiry
/// works through the batch rows hour by hour. See docs/design/at-most-once.md.
class ClaimKeeper
{
public:
    static std::unique_ptr<ClaimKeeper> create(boost::asio::io_context &io,
                                               platform::TableService &table, const Clock &clock,
                                               std::string instance, ClaimOptions options = {});
    ~ClaimKeeper();

    /// Returns by the deadline of the request at the latest.
    wire::Task<ClaimOutcome> claim(ClaimRequest request);
    /// Stores the outcome of a granted claim. The write is retried in the background until the
    /// table has accepted it.
    void storeOutcome(const ClaimKey &key, std::string attempt, StoredOutcome outcome);
    /// Releases a grant that was not used: no byte of the attempt has been sent and none ever will
    /// be. The row is marked as abandoned, retried in the background; the next claimer may have the
    /// key once the table has accepted the mark. Until then a repeat sees the key as held.
    void releaseUnused(const ClaimKey &key, std::string attempt);
    /// The stored claim of a key, or no value if there is no row or its claim was abandoned.
    /// Unavailable if the table is down.
    wire::Task<Result<std::optional<ClaimOutcome>>> lookup(ClaimKey key);
    /// Removes rows older than the lifetime, at most one batch a call. To be called periodically.
    wire::Task<void> removeExpired();

    /// Changes ClaimOptions::writesPerSecond. The share of one instance depends on the number of
    /// instances.
    void limitWrites(double perSecond);
    [[nodiscard]] ClaimCounters counters() const;

private:
    struct State;
    explicit ClaimKeeper(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
