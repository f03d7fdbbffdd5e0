#pragma once

#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/claim_row.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace snipestall::peer {

/// One call of claim(), from its start until the table has settled it.
struct PendingClaim
{
    PendingClaim(boost::asio::io_context &io, ClaimRequest asked)
        : request(std::move(asked))
        , rowKey(claimRowKey(request.key))
        , settled(io)
    { }

    ClaimRequest request;
    platform::RowKey rowKey;
    ClaimRow row;
    /// Version of an abandoned row that this claim takes over; 0: the row must be absent.
    std::uint64_t expectedVersion = 0;
    /// A repeat within this instance: its row is there, so reading is cheaper than a conflict.
    bool readFirst = false;
    /// A write left whose fate is not known.
    bool mayBeWritten = false;
    /// Its caller was told Unsettled.
    bool givenUp = false;
    /// Its batch has done with it.
    bool finished = false;
    std::optional<ClaimOutcome> outcome;
    /// Ends at the deadline; cancelled when the outcome is there.
    boost::asio::steady_timer settled;
};

using PendingClaimPtr = std::shared_ptr<PendingClaim>;

} // namespace snipestall::peer
