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

struct ClaimRequest
{
    ClaimKey key;
    std::string request;
    std::string attempt;
    std::string bodyHash;
    /// Past this the claim is worth nothing to its caller and must settle as Unsettled.
    std::chrono::steady_clock::time_point deadline;
};

struct ClaimOptions
{
    /// How long claims gather before they are written in one transaction.
    std::chrono::milliseconds batchWindow { 5 };
    /// A claim's row is about 350 bytes, so that a full batch stays under 100 KB; with 64 the share
    /// of writes below would cap an instance at 1,600 rows a second.
    std::size_t maxBatch = 256;
    /// How long outcomes and marks gather. Nobody waits for them but a repeat; what is lost by
    /// waiting is that a repeat hears "unknown" if the instance dies within this time.
    std::chrono::milliseconds updateWindow { 25 };
    /// Rows are kept this long, then removed in batches.
    std::chrono::hours lifetime { 24 };
    /// Transactions of one instance under way at once: a slow table then holds up one batch, not
    /// all, and an instance can't fill the table's write budget with waiting work.
    std::size_t maxInFlight = 4;
    /// Transactions a second that this instance may ask of the table, with short bursts above it; 0
    /// for no limit. When they are used up claims gather into larger batches. 25 is the share of
    /// one of eight instances in 200 writes a second.
    double writesPerSecond = 25;
    /// First and longest pause before the table is asked again. Claims queue behind those that are
    /// tried again, so the longest bounds how late they notice that the table is back; what paces
    /// the calls of an outage is the platform client's circuit.
    std::chrono::milliseconds firstPause { 20 };
    std::chrono::milliseconds longestPause { 250 };
};

struct ClaimCounters
{
    std::uint64_t claims = 0;
    std::uint64_t transactions = 0;
    std::uint64_t settledByReading = 0;
    std::uint64_t abandoned = 0;
    /// Rows written or deleted, by every transaction that this keeper asked for.
    std::uint64_t rowWrites = 0;
    std::uint64_t reads = 0;
    std::uint64_t granted = 0;
    std::uint64_t held = 0;
    std::uint64_t unsettled = 0;
    std::uint64_t outcomesStored = 0;
    std::uint64_t outcomesPending = 0;
    std::uint64_t rowsExpired = 0;
};

/// Conditional inserts of (customer, service, key) into the platform's table, many in one
/// transaction, so that platform writes follow batches and not requests. The row is the permission
/// to send: whoever inserted it may send once, nobody else ever. Rows:
///
///     claims/<sha256 of key>           {"request":..,"attempt":..,"token":..,"body":..,"state":..}
///     claim-batches/<hour>/<batch>     the claim rows that one transaction wrote
///
/// A claim's row has one name for its whole life, so a repeat finds it in whatever hour; expiry
/// goes by the batch rows of an hour. See docs/design/at-most-once.md.
class ClaimKeeper
{
public:
    static std::unique_ptr<ClaimKeeper> create(boost::asio::io_context &io,
                                               platform::TableService &table, const Clock &clock,
                                               std::string instance, ClaimOptions options = {});
    ~ClaimKeeper();

    wire::Task<ClaimOutcome> claim(ClaimRequest request);
    /// Stores what came of a granted claim; retried in the background until the table takes it.
    void storeOutcome(const ClaimKey &key, std::string attempt, StoredOutcome outcome);
    /// Takes back a grant that was not used: no byte of the attempt has left and none ever will.
    /// The key is free for the next claimer once the table has taken the mark, which is retried in
    /// the background; until then a repeat sees it as held.
    void giveBack(const ClaimKey &key, std::string attempt);
    /// What is known of a key; nothing if no row is there; Unavailable if the table is down.
    wire::Task<Result<std::optional<ClaimOutcome>>> lookup(ClaimKey key);
    /// Removes rows older than the lifetime, at most one batch a call. Run now and then.
    wire::Task<void> removeExpired();

    /// Sets ClaimOptions::writesPerSecond anew: the share grows and shrinks with the number of
    /// instances.
    void limitWrites(double perSecond);
    [[nodiscard]] ClaimCounters counters() const;

private:
    struct State;
    explicit ClaimKeeper(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
