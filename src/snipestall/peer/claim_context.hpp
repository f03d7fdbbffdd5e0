#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/platform/table_service.hpp"

#include <cstdint>
#include <string>

namespace snipestall::peer {

/// State and table access that the parts of a ClaimKeeper share.
class ClaimContext
{
public:
    ClaimContext(boost::asio::io_context &io, platform::TableService &table, const Clock &clock,
                 std::string instance, ClaimOptions options);

    /// A new token. No other call, instance or earlier run of this instance returns the same one.
    std::string nextToken();
    /// Waits before a failed table call is retried. The delay doubles with each retry, and half of
    /// it is random, so that instances that lost the table at the same time do not retry together.
    wire::Task<void> backOff(int retries);
    wire::Task<void> pauseFor(std::chrono::milliseconds time);

    /// Time until a write fits into this instance's share of the table's writes. This protects the
    /// table from bursts of small batches: claims that wait are collected into larger ones.
    [[nodiscard]] std::chrono::milliseconds writeDelay() const;

    // Calls of the table that update the counters. A write also uses up a part of the share.
    wire::Task<Result<platform::TransactionOutcome>> transact(platform::Transaction transaction);
    wire::Task<Result<std::vector<platform::Row>>> read(std::vector<platform::RowKey> keys);

    boost::asio::io_context &io;
    platform::TableService &table;
    const Clock &clock;
    ClaimOptions options;
    ClaimCounters counters;
    /// The keeper has been destroyed, so nothing may call the table any more.
    bool stopped = false;

private:
    void countWrite();
    void refundWrite();

    std::string m_tokenPrefix;
    std::uint64_t m_tokens = 0;
    Random m_random;
    /// Time at which the writes made so far would have been made at an even rate: the theoretical
    /// arrival time of the generic cell rate algorithm, ITU-T I.371.
    SteadyTime m_theoreticalArrival;
};

} // namespace snipestall::peer
