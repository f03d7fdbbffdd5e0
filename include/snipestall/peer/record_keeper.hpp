#pragma once

#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::peer {

class Membership;
class PeerNetwork;
class RecordSource;

/// Replicates accepted requests, so that a request survives the instance that accepted it.
///
/// As home: hold() returns once the buddy has everything that the request has so far. The buddy is
/// chosen by rendezvous hashing of the request id over the live members of the data centre. Output
/// is sent to the caller only then, so that a caller that reconnects to the buddy never finds it
/// behind what the caller has read. Copies for one buddy are sent in batches: while one batch is
/// being sent the next is collected.
///
/// As buddy: keeps the copies and passes them to `onOrphan` when their home has not reported for
/// its term or hands them over.
class RecordKeeper
{
public:
    /// `released`: the home has handed the request over, so no other instance executes it.
    using OrphanHandler = std::function<void(const v1::RequestRecord &record, bool released)>;

    RecordKeeper(boost::asio::io_context &io, Membership &members, PeerNetwork &network,
                 std::uint64_t incarnation, OrphanHandler onOrphan);
    ~RecordKeeper();

    /// False if no instance could be found for the copy. The request then has no replica.
    wire::Task<bool> hold(std::shared_ptr<RecordSource> source);
    /// To be called when the caller has its whole answer or the request has ended. The buddy's copy
    /// is removed later, in a batch.
    void forget(const std::string &requestId);
    /// Hands every record over to another instance and returns the ids of those that were accepted.
    wire::Task<std::vector<std::string>>
    handOver(std::vector<std::shared_ptr<RecordSource>> sources);

    /// Stores the copies that another home sends to this buddy.
    v1::HoldReply onHold(const v1::HoldRequest &request);
    /// Takes over the requests that a leaving instance hands over.
    v1::HandoverReply onHandover(const v1::HandoverRequest &request);

    /// The copy that is held for another instance, or null.
    [[nodiscard]] const v1::RequestRecord *copy(const std::string &requestId) const;
    [[nodiscard]] std::size_t copies() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
