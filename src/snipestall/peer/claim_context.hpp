#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/platform/table_service.hpp"

#include <cstdint>
#include <string>

namespace snipestall::peer {

/// What the parts of a ClaimKeeper share.
class ClaimContext
{
public:
    ClaimContext(boost::asio::io_context &io, platform::TableService &table, const Clock &clock,
                 std::string instance, ClaimOptions options);

    /// A name that no other call, instance or earlier run of this instance has given out.
    std::string nextToken();
    /// Pause before the table is asked again; doubles by try, half of it random so that instances
    /// that lost the table together do not come back to it together.
    wire::Task<void> pause(int tries);
    wire::Task<void> pauseFor(std::chrono::milliseconds time);

    /// How long to wait until a write fits into this instance's share of the table's writes. Guards
    /// the table against bursts of small batches: while claims wait they gather into larger ones.
    [[nodiscard]] std::chrono::milliseconds writeDelay() const;

    // The table's calls, counted; a write uses up some of the share.
    wire::Task<Result<platform::TransactionOutcome>> transact(platform::Transaction transaction);
    wire::Task<Result<std::vector<platform::Row>>> read(std::vector<platform::RowKey> keys);

    boost::asio::io_context &io;
    platform::TableService &table;
    const Clock &clock;
    ClaimOptions options;
    ClaimCounters counters;
    /// The keeper is gone: nothing may touch the table any more.
    bool stopped = false;

private:
    void countWrite();
    void returnWrite();

    std::string m_tokenPrefix;
    std::uint64_t m_tokens = 0;
    Random m_random;
    /// When the writes made so far would have been made at an even pace (the theoretical arrival
    /// time of the generic cell rate algorithm, ITU-T I.371).
    SteadyTime m_evenPace;
};

} // namespace snipestall::peer
