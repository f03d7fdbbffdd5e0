#pragma once

#include "snipestall/peer/claim_keeper.hpp"
#include "snipestall/peer/claim_row.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace snipestall::peer {

/// One call of ClaimKeeper::claim(), from its start until the claim is settled.
struct PendingClaim
{
    PendingClaim(boost::asio::io_context &io, ClaimRequest claimRequest)
        : request(std::move(claimRequest))
        , rowKey(claimRowKey(request.key))
        , settled(io)
    { }

    ClaimRequest request;
    platform::RowKey rowKey;
    ClaimRow row;
    /// Version of the abandoned row that this claim takes over, or 0 if the row must be absent.
    std::uint64_t expectedVersion = 0;
    /// Another claim of the same key preceded this one on this instance. Its row is in the table,
    /// so a read is cheaper than a conflict.
    bool readFirst = false;
    /// A write was sent whose outcome is not known.
    bool mayBeWritten = false;
    /// The caller was answered as Unsettled.
    bool givenUp = false;
    /// The batch has settled or dropped the claim.
    bool finished = false;
    std::optional<ClaimOutcome> outcome;
    /// Expires at the deadline and is cancelled when the outcome is set.
    boost::asio::steady_timer settled;
};

using PendingClaimPtr = std::shared_ptr<PendingClaim>;

} // namespace snipestall::peer
